"""A call inside the fake engine, and the block that an exported cache is."""

from __future__ import annotations

from typing import NamedTuple

import anyio
import msgpack

from bramleylead.backends import EngineChunk
from bramleylead.backends import GenerateCall
from bramleylead.backends import Message
from bramleylead.standins._answer import Answer
from bramleylead.standins._batch import Sequence


class KvBlock(NamedTuple):
    """An exported cache; ``size_bytes`` is what it stands for, not how long the block is."""

    program: str
    tokens: int
    size_bytes: int
    messages: tuple[Message, ...]

    @classmethod
    def parse(cls, block: bytes) -> KvBlock:
        """Read a block.

        :raises ValueError: if it is none.
        """
        try:
            program, tokens, size_bytes, messages = msgpack.unpackb(block)
            return cls(program, tokens, size_bytes, tuple(Message(*m) for m in messages))
        except (TypeError, ValueError, msgpack.UnpackException) as error:
            raise ValueError(f"not an exported cache: {error}") from error

    def pack(self) -> bytes:
        """Return the block as bytes."""
        return msgpack.packb(list(self))


class EngineStream:
    """One call in the engine and the answer that has come out so far."""

    def __init__(self, call: GenerateCall, sequence: Sequence, answer: Answer) -> None:
        self.call = call
        self.sequence = sequence
        self.answer = answer
        self.cached_tokens = 0
        self.pinned = False
        self.lost = ""
        self.readers = 0
        self._changed: anyio.Event | None = None

    def take(self, after: int, *, first: bool) -> EngineChunk | None:
        """Return what has come out after so many tokens, if anything."""
        sequence = self.sequence
        if sequence.generated <= after:
            return None
        whole = sequence.generated >= self.answer.tokens
        return EngineChunk(
            text=self.answer.text(after, sequence.generated),
            tokens=sequence.generated - after,
            cached_tokens=self.cached_tokens if first else 0,
            prompt_tokens=sequence.prompt_tokens if first else 0,
            finish=self.answer.finish if whole else "",
        )

    def wake(self) -> None:
        """Let readers look again."""
        changed, self._changed = self._changed, None
        if changed is not None:
            changed.set()

    async def wait_changed(self) -> None:
        """Wait until more has come out, or the call was lost."""
        if self._changed is None:
            self._changed = anyio.Event()
        await self._changed.wait()
