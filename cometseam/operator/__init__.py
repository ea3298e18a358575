"""Evaluates the operator's Jsonnet file under resource limits, checks it and compiles it for a front.

Public: `load` (in this process, for `check`, `render` and `explain`), `load_in_child` and
`load_in_child_async` (in a child, for a front), `LoadedFile`, `CompiledConfig` and `OperatorFileError`. A
front imports none of the libraries that evaluate and check the file: it starts a child process and decodes
its output.

A pull is a client's request; a relay is one attempt of a pull at an endpoint.
"""

from cometseam.operator.compiled import CompiledConfig, Fault, OperatorFileError

__all__ = ["CompiledConfig", "Fault", "OperatorFileError"]
