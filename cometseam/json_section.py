"""Reads nested mappings key by key; whatever is wrong is told with the path of its key."""

import math
from collections.abc import Iterator
from typing import Any


class FieldError(ValueError):
    """A key is missing, or its value is of the wrong type or out of range; the text names the key."""


class Section:
    """One mapping of a nested JSON text, and the path that led to it."""

    def __init__(self, values: Any, path: str = "") -> None:
        if not isinstance(values, dict):
            raise FieldError(f"{path or 'the text'}: an object was expected, not {_told(values)}")
        self.values: dict[str, Any] = values
        self.path = path

    def key_path(self, key: str) -> str:
        """Return the path of a key."""
        return f"{self.path}.{key}" if self.path else key

    def _get(self, key: str, absent: Any) -> Any:
        if key in self.values:
            return self.values[key]
        if absent is None:
            raise FieldError(f"{self.key_path(key)}: missing")
        return absent

    def section(self, key: str, absent: dict[str, Any] | None = None) -> "Section":
        """Return a mapping."""
        return Section(self._get(key, absent), self.key_path(key))

    def sections(self, key: str) -> Iterator["Section"]:
        """Yield the mappings of a list."""
        for place, value in enumerate(self.list(key)):
            yield Section(value, f"{self.key_path(key)}[{place}]")

    def list(self, key: str, absent: tuple[()] | None = None) -> Any:
        """Return a list as it stands."""
        value = self._get(key, absent)
        if not isinstance(value, list | tuple):
            raise FieldError(f"{self.key_path(key)}: a list was expected, not {_told(value)}")
        return value

    def number(self, key: str, absent: float | None = None, minimum: float = -math.inf) -> float:
        """Return a finite number that is not below `minimum`."""
        return self._number(self.key_path(key), self._get(key, absent), minimum)

    def integer(self, key: str, absent: int | None = None, minimum: float = -math.inf) -> int:
        """Return a whole number."""
        value = self.number(key, absent, minimum)
        if value != int(value):
            raise FieldError(f"{self.key_path(key)}: a whole number was expected, not {_told(value)}")
        return int(value)

    def numbers(self, key: str) -> tuple[float, ...]:
        """Return a list of numbers; absent: empty."""
        values = self.list(key, ())
        return tuple(
            self._number(f"{self.key_path(key)}[{place}]", value) for place, value in enumerate(values)
        )

    def _number(self, path: str, value: Any, low: float = -math.inf) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise FieldError(f"{path}: a number was expected, not {_told(value)}")
        if value < low:
            raise FieldError(f"{path}: at least {low:g} was expected, not {value:g}")
        return float(value)

    def flag(self, key: str, absent: bool | None = None) -> bool:
        """Return true or false."""
        value = self._get(key, absent)
        if not isinstance(value, bool):
            raise FieldError(f"{self.key_path(key)}: true or false was expected, not {_told(value)}")
        return value

    def flags(self, key: str) -> tuple[bool, ...]:
        """Return a list of flags; absent: empty."""
        values = self.list(key, ())
        if not all(isinstance(value, bool) for value in values):
            raise FieldError(f"{self.key_path(key)}: true or false was expected in each place")
        return tuple(values)

    def text(self, key: str, absent: str | None = None) -> str:
        """Return a text."""
        value = self._get(key, absent)
        if not isinstance(value, str):
            raise FieldError(f"{self.key_path(key)}: a text was expected, not {_told(value)}")
        return value

    def one_of(self, key: str, known: dict[str, Any], absent: str | None = None) -> Any:
        """Return what stands for one of the known words."""
        word = self.text(key, absent)
        if word not in known:
            raise FieldError(f"{self.key_path(key)}: {word!r} is none of {', '.join(known)}")
        return known[word]

    def texts(self, key: str) -> tuple[str, ...]:
        """Return a list of texts."""
        values = self.list(key)
        if not all(isinstance(value, str) for value in values):
            raise FieldError(f"{self.key_path(key)}: a text was expected in each place")
        return tuple(values)


def _told(value: Any) -> str:
    return repr(value)[:40]
