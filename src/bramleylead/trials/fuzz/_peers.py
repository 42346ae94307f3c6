"""Frames of other nodes, with the handshake and without: valid, or broken in one place."""

from __future__ import annotations

import random
import types
from collections.abc import Callable
from enum import Enum
from typing import Any
from typing import get_args
from typing import get_origin
from typing import get_type_hints

import msgpack

from bramleylead.connection._codec import _classes_by_code
from bramleylead.connection._codec import to_plain
from bramleylead.connection._frames import LENGTH_BYTES
from bramleylead.connection._frames import FrameKind
from bramleylead.connection._handshake import PROTOCOL_VERSION
from bramleylead.connection._handshake import Hello
from bramleylead.gateway import _relay_messages
from bramleylead.ledger import _messages
from bramleylead.ledger import _mirror
from bramleylead.trials.fuzz._breaking import damage
from bramleylead.trials.fuzz._breaking import odd_value
from bramleylead.trials.fuzz._breaking import split
from bramleylead.trials.fuzz._cases import Case
from bramleylead.trials.fuzz._cases import TargetKind

ROLES = ("gateway", "ledger")
REQUESTS: tuple[type, ...] = tuple(
    item
    for module in (_messages, _relay_messages, _mirror)
    for item in vars(module).values()
    if item in _classes_by_code.values()
)
BELIEVED = (_messages.CatchUp,)
"""Who has the key is believed on the members: a well-formed, untrue message of these is no case."""
DOUBTED = tuple(cls for cls in REQUESTS if cls not in BELIEVED)
ODD_CALLS: tuple[Any, ...] = (0, 1, -1, 2**63, 2**64 - 1, None, "1", 1.5, [], True)
MANY_LISTS = 300_000
"""So many empty lists take a hundred times their size on the wire."""
DEEP = 400
SAMPLES: dict[type, tuple[Any, ...]] = {
    bool: (True, False),
    int: (0, 1, 5),
    float: (0.0, 0.5, 3.0),
    str: ("odd", "", "odd-0", "10.0.0.1:7"),
    bytes: (b"", b"odd"),
}


class PeerCases:
    """Draws the cases of other nodes.

    :param rng: draws all of them.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._makers: tuple[Callable[[], Case], ...] = (
            self._noise,
            self._odd_hello,
            self._long_hello,
            self._odd_length,
            self._odd_frame,
            self._odd_message,
            self._damaged_message,
            self._same_call,
        )

    def draw(self) -> Case:
        """Return the next case."""
        return self._rng.choice(self._makers)()

    def _noise(self) -> Case:
        return self._case("noise", self._rng.randbytes(self._rng.randrange(1, 300)))

    def _odd_hello(self) -> Case:
        plain = to_plain(Hello(PROTOCOL_VERSION, "odd", b"n" * 16))
        plain[self._rng.randrange(len(plain))] = odd_value(self._rng)
        return self._case("odd hello", _frame(0, FrameKind.HELLO, plain))

    def _long_hello(self) -> Case:
        return self._case("long hello", _frame(0, FrameKind.HELLO, [[]] * MANY_LISTS))

    def _odd_length(self) -> Case:
        length = self._rng.choice((0, 1, 4_000_000, 4_000_001, 2**32 - 1))
        data = length.to_bytes(LENGTH_BYTES, "big") + self._rng.randbytes(8)
        return self._case(f"length {length}", data, handshake=self._rng.random() < 0.5)

    def _odd_frame(self) -> Case:
        body = self._rng.choice((odd_value(self._rng), _nested()))
        kind = self._rng.choice((*FrameKind, 8, -1, None, "0"))
        data = _frame(self._rng.choice(ODD_CALLS), kind, body)
        return self._case(f"frame {kind!r}", data, handshake=True)

    def _odd_message(self) -> Case:
        cls = self._rng.choice(REQUESTS)
        plain = to_plain(self._sample(cls))
        plain[self._rng.randrange(len(plain))] = odd_value(self._rng)
        data = _frame(1, FrameKind.OPEN, plain)
        return self._case(f"odd {cls.__name__}", data, handshake=True)

    def _damaged_message(self) -> Case:
        cls = self._rng.choice(DOUBTED)
        body = damage(msgpack.packb([1, 0, to_plain(self._sample(cls))]), self._rng)
        data = len(body).to_bytes(LENGTH_BYTES, "big") + body
        return self._case(f"damaged {cls.__name__}", data, handshake=True)

    def _same_call(self) -> Case:
        """Open a call twice, and send what belongs to none."""
        cls = self._rng.choice(DOUBTED)
        opened = _frame(1, FrameKind.OPEN, to_plain(self._sample(cls)))
        others = [
            _frame(1, self._rng.choice(list(FrameKind)), odd_value(self._rng)) for _ in range(3)
        ]
        return self._case(f"twice {cls.__name__}", opened * 2 + b"".join(others), handshake=True)

    def _sample(self, annotation: Any) -> Any:
        """Return a value of a type that a message's field has."""
        if annotation in SAMPLES:
            return self._rng.choice(SAMPLES[annotation])
        if isinstance(annotation, types.UnionType):
            return self._sample(self._rng.choice(get_args(annotation)))
        if get_origin(annotation) is tuple:
            inner, *rest = get_args(annotation)
            if rest == [Ellipsis]:
                return tuple(self._sample(inner) for _ in range(self._rng.randrange(3)))
            return tuple(map(self._sample, (inner, *rest)))
        if isinstance(annotation, type) and issubclass(annotation, Enum):
            return self._rng.choice(list(annotation))
        if isinstance(annotation, type) and hasattr(annotation, "_fields"):
            hints = get_type_hints(annotation)
            return annotation(*(self._sample(hints[name]) for name in annotation._fields))
        return None

    def _case(self, name: str, data: bytes, *, handshake: bool = False) -> Case:
        parts = split(data, self._rng)
        role = self._rng.choice(ROLES)
        return Case(TargetKind.PEERS, role, name, parts, handshake=handshake)


def _frame(call: Any, kind: Any, body: Any) -> bytes:
    data: bytes = msgpack.packb([call, kind, body])
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


def _nested() -> Any:
    value: Any = []
    for _ in range(DEEP):
        value = [value]
    return value
