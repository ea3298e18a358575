"""The operator's file: Jsonnet, evaluated within bounds and checked whole, to what serving needs of it.

Public: `load` (in this process, for `check`, `render` and `explain`), `load_apart` and `load_apart_async`
(in a child, for a front), `Loaded`, `Compiled` and `Refused`. A front imports none of the libraries that
read and check the file: it asks a child, and decodes what that writes.
"""

from cometseam.operator.compiled import Compiled, Fault, Refused

__all__ = ["Compiled", "Fault", "Refused"]
