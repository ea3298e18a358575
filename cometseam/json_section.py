"""Checked access to nested JSON objects; errors name the path of the key.

In all methods a `default` of None means that the key is required.
"""

import math
from collections.abc import Iterator
from typing import Any


class FieldError(ValueError):
    """A key is missing, or its value has the wrong type or is out of range; the message names the key."""


class Section:
    """One object of a nested JSON document, and its path."""

    def __init__(self, values: Any, path: str = "") -> None:
        if not isinstance(values, dict):
            raise FieldError(f"{path or 'the text'}: an object was expected, not {_abbreviate(values)}")
        self.values: dict[str, Any] = values
        self.path = path

    def key_path(self, key: str) -> str:
        """Return the path of a key of this object."""
        return f"{self.path}.{key}" if self.path else key

    def _get(self, key: str, default: Any) -> Any:
        if key in self.values:
            return self.values[key]
        if default is None:
            raise FieldError(f"{self.key_path(key)}: missing")
        return default

    def section(self, key: str, default: dict[str, Any] | None = None) -> "Section":
        """Return a nested object."""
        return Section(self._get(key, default), self.key_path(key))

    def sections(self, key: str) -> Iterator["Section"]:
        """Yield the objects of a list."""
        for index, value in enumerate(self.list(key)):
            yield Section(value, f"{self.key_path(key)}[{index}]")

    def list(self, key: str, default: tuple[()] | None = None) -> Any:
        """Return a list without checking its items."""
        value = self._get(key, default)
        if not isinstance(value, list | tuple):
            raise FieldError(f"{self.key_path(key)}: a list was expected, not {_abbreviate(value)}")
        return value

    def number(self, key: str, default: float | None = None, minimum: float = -math.inf) -> float:
        """Return a finite number of at least `minimum`."""
        return self._number(self.key_path(key), self._get(key, default), minimum)

    def integer(self, key: str, default: int | None = None, minimum: float = -math.inf) -> int:
        """Return an integer of at least `minimum`."""
        value = self.number(key, default, minimum)
        if value != int(value):
            raise FieldError(f"{self.key_path(key)}: a whole number was expected, not {_abbreviate(value)}")
        return int(value)

    def numbers(self, key: str) -> tuple[float, ...]:
        """Return a list of numbers, empty if the key is absent."""
        values = self.list(key, ())
        return tuple(
            self._number(f"{self.key_path(key)}[{index}]", value) for index, value in enumerate(values)
        )

    def _number(self, path: str, value: Any, minimum: float = -math.inf) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise FieldError(f"{path}: a number was expected, not {_abbreviate(value)}")
        if value < minimum:
            raise FieldError(f"{path}: at least {minimum:g} was expected, not {value:g}")
        return float(value)

    def flag(self, key: str, default: bool | None = None) -> bool:
        """Return a boolean."""
        value = self._get(key, default)
        if not isinstance(value, bool):
            raise FieldError(f"{self.key_path(key)}: true or false was expected, not {_abbreviate(value)}")
        return value

    def flags(self, key: str) -> tuple[bool, ...]:
        """Return a list of booleans, empty if the key is absent."""
        values = self.list(key, ())
        if not all(isinstance(value, bool) for value in values):
            raise FieldError(f"{self.key_path(key)}: true or false was expected for each item")
        return tuple(values)

    def text(self, key: str, default: str | None = None) -> str:
        """Return a string."""
        value = self._get(key, default)
        if not isinstance(value, str):
            raise FieldError(f"{self.key_path(key)}: a text was expected, not {_abbreviate(value)}")
        return value

    def one_of(self, key: str, choices: dict[str, Any], default: str | None = None) -> Any:
        """Return the value that `choices` maps the key's string to."""
        word = self.text(key, default)
        if word not in choices:
            raise FieldError(f"{self.key_path(key)}: {word!r} is none of {', '.join(choices)}")
        return choices[word]

    def texts(self, key: str) -> tuple[str, ...]:
        """Return a list of strings."""
        values = self.list(key)
        if not all(isinstance(value, str) for value in values):
            raise FieldError(f"{self.key_path(key)}: a text was expected for each item")
        return tuple(values)


def _abbreviate(value: Any) -> str:
    return repr(value)[:40]
