"""The operator's file: Jsonnet, evaluated within bounds and checked whole, to what serving needs of it.

Public: `load` (in this process, for `check`, `render` and `explain`), `load_in_child` and
`load_in_child_async` (in a child, for a front), `LoadedFile`, `CompiledConfig` and `OperatorFileError`. A
front imports none of the libraries that read and check the file: it asks a child, and decodes what that
writes.
"""

from cometseam.operator.compiled import CompiledConfig, Fault, OperatorFileError

__all__ = ["CompiledConfig", "Fault", "OperatorFileError"]
