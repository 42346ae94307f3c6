"""Typed messages as msgpack: a decorator registers each message class under a number.

A message is a ``NamedTuple`` and travels as ``[code, field, ...]``. A receiver takes missing
trailing fields from the class's defaults and drops unknown trailing ones, so that nodes of
neighbouring releases understand each other.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import TypeVar

import msgpack
from pydantic import TypeAdapter
from pydantic import ValidationError

MAX_FRAME_BYTES = 4_000_000

_M = TypeVar("_M", bound=type)
_classes: dict[int, type] = {}
_codes: dict[type, int] = {}
_adapters: dict[int, TypeAdapter[Any]] = {}


class MessageError(Exception):
    """A frame that is not a known, well-formed message."""


def message(code: int) -> Callable[[_M], _M]:
    """Register a ``NamedTuple`` class as the message with this code.

    :raises ValueError: if the code is taken.
    """

    def register(cls: _M) -> _M:
        if code in _classes:
            raise ValueError(f"message code {code} is taken by {_classes[code].__name__}")
        _classes[code] = cls
        _codes[cls] = code
        return cls

    return register


def to_plain(item: tuple[Any, ...]) -> list[Any]:
    """Return a registered message as the plain list that msgpack packs."""
    return [_codes[type(item)], *item]


def from_plain(plain: Any) -> Any:
    """Check a plain list and return the message it stands for.

    :raises MessageError: if the code is unknown or a field has the wrong type.
    """
    if not isinstance(plain, list) or not plain or not isinstance(plain[0], int):
        raise MessageError("a message must be a list that starts with its code")
    code = plain[0]
    cls = _classes.get(code)
    if cls is None:
        raise MessageError(f"unknown message code {code}")
    fields = plain[1 : 1 + len(cls._fields)]
    try:
        return _adapter(code, cls).validate_python(fields)
    except ValidationError as error:
        raise MessageError(f"bad {cls.__name__}: {error.errors()[0]['msg']}") from error


def encode(item: tuple[Any, ...]) -> bytes:
    """Return a registered message as msgpack bytes."""
    return msgpack.packb(to_plain(item))


def decode(data: bytes) -> Any:
    """Return the message that msgpack bytes stand for.

    :raises MessageError: if they are no known, well-formed message.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise MessageError(f"message of {len(data)} bytes; at most {MAX_FRAME_BYTES} are read")
    try:
        plain = msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException) as error:
        raise MessageError(f"not msgpack: {error}") from error
    return from_plain(plain)


def _adapter(code: int, cls: type) -> TypeAdapter[Any]:
    adapter = _adapters.get(code)
    if adapter is None:
        adapter = TypeAdapter(cls)
        _adapters[code] = adapter
    return adapter
