"""Finds the line of a key in a Jsonnet text, as far as objects and lists are written out there. No I/O.

Jsonnet keeps no places once it is evaluated. What is written as a literal from the top of the file on is
found; what an import, a call or a sum makes is told at the last key above it that is.
"""

import re
from collections.abc import Iterator
from typing import NamedTuple

TOKEN = re.compile(
    r"""(?P<skip>\s+|//[^\n]*|\#[^\n]*|/\*.*?\*/)
      |(?P<text>\|\|\|.*?\n\s*\|\|\||"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*'|@"(?:""|[^"])*"|@'(?:''|[^'])*')
      |(?P<name>[A-Za-z_][A-Za-z_0-9]*)
      |(?P<number>\d[\d.eE+-]*)
      |(?P<mark>:::|::|\+:|:|[{}\[\](),;]|.)""",
    re.VERBOSE | re.DOTALL,
)
OPEN, CLOSE = "{[(", "}])"


class Token(NamedTuple):
    """A piece of the text, and the line on which it begins."""

    kind: str
    text: str
    line: int


def tokens(source: str) -> Iterator[Token]:
    """Yield the pieces of a text, without white space and comments."""
    line = 1
    for match in TOKEN.finditer(source):
        kind, text = str(match.lastgroup), match.group()
        if kind != "skip":
            yield Token(kind, text, line)
        line += text.count("\n")


def _past(pieces: list[Token], at: int) -> int:
    """Return the place past the bracket that opens at `at` and all that it holds."""
    depth = 0
    while at < len(pieces):
        if pieces[at].kind == "mark":
            depth += pieces[at].text in OPEN
            depth -= pieces[at].text in CLOSE
        at += 1
        if depth == 0:
            break
    return at


def _top(pieces: list[Token]) -> int:
    """Return where the value of the file begins: past its `local` bindings."""
    at = 0
    while at < len(pieces) and pieces[at].text in ("local", "assert"):
        while at < len(pieces) and pieces[at].text != ";":
            at = _past(pieces, at) if pieces[at].text in OPEN else at + 1
        at += 1
    return at


def _items(pieces: list[Token], at: int) -> Iterator[tuple[str | int, int, int]]:
    """Yield (key or place, where it stands, where its value begins) of the literal that opens at `at`."""
    listed, count = pieces[at].text == "[", 0
    end = _past(pieces, at) - 1
    at += 1
    while at < end:
        if listed:
            yield count, at, at
            count += 1
        else:
            key, stands = pieces[at], at
            colon = at
            while colon < end and pieces[colon].text not in (":", "::", ":::", "+:", ","):
                colon = _past(pieces, colon) if pieces[colon].text in OPEN else colon + 1
            name = key.text.strip("@").strip("\"'") if key.kind == "text" else key.text
            if colon < end and pieces[colon].text != "," and key.kind in ("text", "name"):
                yield name, stands, colon + 1
        while at < end and pieces[at].text != ",":
            at = _past(pieces, at) if pieces[at].text in OPEN else at + 1
        at += 1


def locate(source: str, path: tuple[str | int, ...]) -> int | None:
    """Return the line of a key, or of the last key above it that is written out; None where none is."""
    pieces = list(tokens(source))
    at, line = _top(pieces), None
    for step in path:
        if at >= len(pieces) or pieces[at].text not in ("{", "["):
            return line
        for key, stands, value in _items(pieces, at):
            if key == step:
                at, line = value, pieces[stands].line
                break
        else:
            return line
    return line
