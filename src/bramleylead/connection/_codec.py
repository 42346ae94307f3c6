"""Typed messages encoded as msgpack; a decorator registers each message class under a code.

A message is a ``NamedTuple`` and is encoded as ``[code, field, ...]``. A receiver fills in missing
trailing fields from the class's defaults and ignores unknown trailing ones, so that nodes of
adjacent releases are compatible.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import TypeVar

import msgpack
import msgspec

MAX_FRAME_BYTES = 4_000_000

_M = TypeVar("_M", bound=type)
_classes_by_code: dict[int, type] = {}
_codes_by_class: dict[type, int] = {}
MSGPACK_TYPES = (bytes,)
"""What msgpack carries beyond JSON; without it msgspec would take base64 text for bytes."""


class MessageError(Exception):
    """Data that is not a known, well-formed message, or violates the protocol."""


def message(code: int) -> Callable[[_M], _M]:
    """Register a ``NamedTuple`` class as the message with this code.

    :raises ValueError: if the code is already in use.
    """

    def register(cls: _M) -> _M:
        if code in _classes_by_code:
            raise ValueError(
                f"message code {code} is already used by {_classes_by_code[code].__name__}"
            )
        _classes_by_code[code] = cls
        _codes_by_class[cls] = code
        return cls

    return register


def to_plain(item: tuple[Any, ...]) -> list[Any]:
    """Return a registered message as a plain list that msgpack can encode."""
    return [_codes_by_class[type(item)], *item]


def from_plain(plain: Any) -> Any:
    """Validate a plain list and return the message that it represents.

    :raises MessageError: if the code is unknown or a field has the wrong type.
    """
    if not isinstance(plain, list) or not plain or not isinstance(plain[0], int):
        raise MessageError("a message must be a list that starts with its code")
    code = plain[0]
    cls = _classes_by_code.get(code)
    if cls is None:
        raise MessageError(f"unknown message code {code}")
    fields = plain[1 : 1 + len(cls._fields)]
    try:
        # Ends at the first fault, so that a message of 4 MB can't have as many reasons as bytes.
        return msgspec.convert(fields, cls, builtin_types=MSGPACK_TYPES)
    except (msgspec.ValidationError, UnicodeEncodeError) as error:
        # A text that is no UTF-8, with half of a surrogate pair, can come from JSON.
        raise MessageError(f"invalid {cls.__name__}: {error}") from error


def encode(item: tuple[Any, ...]) -> bytes:
    """Encode a registered message as msgpack."""
    return msgpack.packb(to_plain(item))


def decode(data: bytes) -> Any:
    """Decode a message from msgpack.

    :raises MessageError: if the data is not a known, well-formed message.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise MessageError(f"message of {len(data)} bytes; at most {MAX_FRAME_BYTES} are allowed")
    try:
        plain = msgpack.unpackb(data)
    except (ValueError, msgpack.UnpackException) as error:
        raise MessageError(f"not msgpack: {error}") from error
    return from_plain(plain)
