"""Finds the line of a key in a Jsonnet text, where objects and lists are written as literals. Does no I/O.

Jsonnet keeps no source locations after evaluation. Keys in literals nested from the top of the file are
found; for a key that an import, a call or a sum produces, the line of its closest literal parent is returned.
"""

import re
from collections.abc import Iterator
from typing import NamedTuple

TOKEN_PATTERN = re.compile(
    r"""(?P<skip>\s+|//[^\n]*|\#[^\n]*|/\*.*?\*/)
      |(?P<text>\|\|\|.*?\n\s*\|\|\||"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*'|@"(?:""|[^"])*"|@'(?:''|[^'])*')
      |(?P<name>[A-Za-z_][A-Za-z_0-9]*)
      |(?P<number>\d[\d.eE+-]*)
      |(?P<mark>:::|::|\+:|:|[{}\[\](),;]|.)""",
    re.VERBOSE | re.DOTALL,
)
OPENING_BRACKETS = "{[("
CLOSING_BRACKETS = "}])"


class Token(NamedTuple):
    """A token of the text; `line` is the line on which it begins, from 1."""

    kind: str
    text: str
    line: int


def tokens(source: str) -> Iterator[Token]:
    """Yield the tokens of a text, without white space and comments."""
    line = 1
    for match in TOKEN_PATTERN.finditer(source):
        kind, text = str(match.lastgroup), match.group()
        if kind != "skip":
            yield Token(kind, text, line)
        line += text.count("\n")


def _skip_balanced(token_list: list[Token], position: int) -> int:
    """Return the position after the bracketed text that opens at `position`, or after a single token."""
    depth = 0
    while position < len(token_list):
        if token_list[position].kind == "mark":
            depth += token_list[position].text in OPENING_BRACKETS
            depth -= token_list[position].text in CLOSING_BRACKETS
        position += 1
        if depth == 0:
            break
    return position


def _value_start(token_list: list[Token]) -> int:
    """Return the position of the value of the file: after its `local` bindings and asserts."""
    position = 0
    while position < len(token_list) and token_list[position].text in ("local", "assert"):
        while position < len(token_list) and token_list[position].text != ";":
            position = (
                _skip_balanced(token_list, position)
                if token_list[position].text in OPENING_BRACKETS
                else position + 1
            )
        position += 1
    return position


def _literal_entries(token_list: list[Token], position: int) -> Iterator[tuple[str | int, int, int]]:
    """Yield (key or index, its position, position of its value) for each entry of the literal."""
    is_list, count = token_list[position].text == "[", 0
    end = _skip_balanced(token_list, position) - 1
    position += 1
    while position < end:
        if is_list:
            yield count, position, position
            count += 1
        else:
            key, key_position = token_list[position], position
            colon = position
            while colon < end and token_list[colon].text not in (":", "::", ":::", "+:", ","):
                colon = (
                    _skip_balanced(token_list, colon)
                    if token_list[colon].text in OPENING_BRACKETS
                    else colon + 1
                )
            name = key.text.strip("@").strip("\"'") if key.kind == "text" else key.text
            if colon < end and token_list[colon].text != "," and key.kind in ("text", "name"):
                yield name, key_position, colon + 1
        while position < end and token_list[position].text != ",":
            position = (
                _skip_balanced(token_list, position)
                if token_list[position].text in OPENING_BRACKETS
                else position + 1
            )
        position += 1


def locate(source: str, path: tuple[str | int, ...]) -> int | None:
    """Return the line of a key, or of its closest parent written as a literal; None where there is none."""
    token_list = list(tokens(source))
    position, line = _value_start(token_list), None
    for wanted_key in path:
        if position >= len(token_list) or token_list[position].text not in ("{", "["):
            return line
        for key, key_position, value_position in _literal_entries(token_list, position):
            if key == wanted_key:
                position, line = value_position, token_list[key_position].line
                break
        else:
            return line
    return line
