"""Decodes a JSON document part by part where it can't be decoded as a whole.

The document is a page of objects of several writers. A value that the decoder refuses (too deep,
too many digits) costs itself only: its end is found by its brackets, without recursion.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple
from typing import final

OBJECT_LEVELS = 2
"""An object of the store and its metadata: read part by part, so that the name may be known."""
MIN_REMEMBERED_CHARS = 1_000
MAX_REMEMBERED = 8
_SPACE = re.compile(r"[ \t\n\r]*+")
_SCALAR = re.compile(r"[^\s,\]}]++")
_STRING_OR_BRACKETS = re.compile(
    r'"(?:[^"\\]++|\\.)*+"?+|(?P<opening>[\[{]++)|(?P<closing>[\]}]++)', re.DOTALL
)


class UndecodedPart(NamedTuple):
    """Stands for a value that can't be decoded."""

    reason: str

    def __str__(self) -> str:
        return self.reason


@final
class RepeatedKeys(dict[str, Any]):
    """A JSON object in which a key occurs twice; the last value counts."""


@final
class RefusedValues:
    """The texts of long values that the decoder refused lately.

    An odd object is read again with each list. A text that begins with such a value, an object or
    an array, holds this value there: its own brackets end it. So its end isn't searched again.
    """

    def __init__(self) -> None:
        self._texts: list[str] = []

    def find(self, text: str, start: int) -> str:
        """Return the known value that starts at a position; empty if none does."""
        return next((known for known in self._texts if text.startswith(known, start)), "")

    def add(self, value: str) -> None:
        """Remember a value if it is long."""
        if len(value) < MIN_REMEMBERED_CHARS or value[0] not in "[{":
            return
        self._texts.append(value)
        del self._texts[:-MAX_REMEMBERED]


def decode_parts(data: bytes, refused: RefusedValues, *, levels: int) -> Any:
    """Return the value of a JSON document; an ``UndecodedPart`` stands for what can't be decoded.

    Bytes that aren't UTF-8 become lone surrogates.

    :param refused: the values that answers before this one held and the decoder refused.
    :param levels: the outer levels of objects and arrays that are decoded part by part; those
        beyond ``OBJECT_LEVELS`` are the answer's own.
    :raises ValueError: if the document is neither JSON nor made of such parts.
    """
    value = _decode(data.decode(errors="surrogateescape"), refused, levels)
    if isinstance(value, UndecodedPart):
        raise ValueError(value.reason)
    return value


def _decode(text: str, refused: RefusedValues, levels: int) -> Any:
    try:
        return _decoder.decode(text)
    except (RecursionError, ValueError) as error:
        part = UndecodedPart(_reason(error))
    if not levels:
        return part
    try:
        return _Parts(text, refused).decode(levels)
    except ValueError:
        return part


def _reason(error: RecursionError | ValueError) -> str:
    """Return why a value can't be decoded, without its place: a line is logged once a reason."""
    if isinstance(error, RecursionError):
        return "nested too deeply"
    return "no JSON" if isinstance(error, json.JSONDecodeError) else "a number of too many digits"


def _to_object(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    found = dict(pairs)
    return found if len(found) == len(pairs) else RepeatedKeys(found)


_decoder = json.JSONDecoder(object_pairs_hook=_to_object)


@final
class _Parts:
    """The members of an object or the elements of an array, each decoded by itself.

    An error in JSON takes the decoder time in proportion to its position. After the first one each
    part is therefore cut out before it is decoded.
    """

    def __init__(self, text: str, refused: RefusedValues) -> None:
        self._text = text
        self._refused = refused
        self._position = 0
        self._cuts_first = False

    def decode(self, levels: int) -> Any:
        """Return the object or array that the text is.

        :raises ValueError: if it is neither.
        """
        self._skip_space()
        value = self._read_container(levels)
        if self._position != len(self._text):
            raise ValueError(f"data after the end, at character {self._position}")
        return value

    def _read_container(self, levels: int) -> Any:
        if self._take("{"):
            return _to_object(list(self._members(levels - 1)))
        if self._take("["):
            return list(self._elements(levels - 1))
        raise ValueError("neither an object nor an array")

    def _members(self, levels: int) -> Iterator[tuple[str, Any]]:
        for _ in self._items("}"):
            key = self._read_value(0)
            if not isinstance(key, str):
                raise ValueError(f"no key before character {self._position}")
            self._expect(":")
            yield key, self._read_value(levels)

    def _elements(self, levels: int) -> Iterator[Any]:
        for _ in self._items("]"):
            yield self._read_value(levels)

    def _read_value(self, levels: int) -> Any:
        start = self._position
        if levels <= OBJECT_LEVELS and not self._cuts_first:
            try:
                value, self._position = _decoder.raw_decode(self._text, start)
                self._skip_space()
                return value
            except (RecursionError, ValueError) as error:
                self._cuts_first = isinstance(error, json.JSONDecodeError)
                part = UndecodedPart(_reason(error))
            if not levels and not self._cuts_first:
                self._cut_refused()
                return part
        if levels and not self._cuts_first:
            try:
                return self._read_container(levels)
            except ValueError:
                self._position = start
        return _decode(self._cut_value(), self._refused, levels)

    def _items(self, end: str) -> Iterator[None]:
        """Yield at the start of each item."""
        if self._take(end):
            return
        yield
        while not self._take(end):
            self._expect(",")
            yield

    def _cut_refused(self) -> None:
        """Move past a value that was refused, perhaps not for the first time."""
        known = self._refused.find(self._text, self._position)
        if known:
            self._cut(self._position + len(known))
        else:
            self._refused.add(self._cut_value())

    def _cut_value(self) -> str:
        """Return the text of a value of any depth, whatever stands within its brackets."""
        start = self._position
        if _STRING_OR_BRACKETS.match(self._text, start) is None:
            return self._cut_scalar()
        depth = 0
        for token in _STRING_OR_BRACKETS.finditer(self._text, start):
            if token.lastgroup == "opening":
                depth += token.end() - token.start()
            elif token.lastgroup == "closing":
                excess = token.end() - token.start() - depth
                if excess >= 0:
                    return self._cut(token.end() - excess)
                depth = -excess
            elif not depth:
                return self._cut(token.end())
        raise ValueError(f"the value at character {start} has no end")

    def _cut_scalar(self) -> str:
        scalar = _SCALAR.match(self._text, self._position)
        if scalar is None:
            raise ValueError(f"no value at character {self._position}")
        return self._cut(scalar.end())

    def _cut(self, end: int) -> str:
        text = self._text[self._position : end]
        self._position = end
        self._skip_space()
        return text

    def _skip_space(self) -> None:
        found = _SPACE.match(self._text, self._position)
        self._position = self._position if found is None else found.end()

    def _take(self, character: str) -> bool:
        if not self._text.startswith(character, self._position):
            return False
        self._position += 1
        self._skip_space()
        return True

    def _expect(self, character: str) -> None:
        if not self._take(character):
            raise ValueError(f"no {character!r} at character {self._position}")
