"""Bounds the bytes of all bodies, of requests or of responses, that a gateway holds at once."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import final

MAX_HELD_BYTES = 16_000_000
"""A body is held about two and a half times: as it was read, as it is sent, and in a buffer."""
MAX_HELD_RESPONSE_BYTES = 6_000_000
"""A response is held up to two and a half times: as it was read, whole, and in the server's buffer
until the caller reads it. Callers that don't read may so fill 16 MB."""
FREE_BYTES = 16_384
"""Of each body; smaller ones are always read, so that a few large ones can't keep them out."""


@final
class BodyMemory:
    """Counts what is held; the count of a body ends with its request."""

    def __init__(self, *, max_bytes: int = MAX_HELD_BYTES) -> None:
        self._max_bytes = max_bytes
        self.held_bytes = 0

    @contextmanager
    def hold(self) -> Iterator[HeldBody]:
        """Count one body within this context."""
        held = HeldBody(self)
        try:
            yield held
        finally:
            held.release()

    def take(self, count: int, *, held_bytes: int) -> bool:
        """Count more bytes of a body, if they are still allowed; return whether they are.

        :param held_bytes: what is counted for it; a body may exceed the bound while it is alone.
        """
        is_alone = self.held_bytes == held_bytes
        if self.held_bytes + count > self._max_bytes and not is_alone:
            return False
        self.held_bytes += count
        return True

    def give_back(self, count: int) -> None:
        """Count bytes no longer."""
        self.held_bytes -= count


@final
class HeldBody:
    """One body that is being read."""

    def __init__(self, memory: BodyMemory) -> None:
        self._memory = memory
        self._read_bytes = 0
        self._counted_bytes = 0

    def admit(self, count: int) -> bool:
        """Return whether this many more bytes may be held; if not, the body counts no longer."""
        self._read_bytes += count
        more = max(0, self._read_bytes - FREE_BYTES) - self._counted_bytes
        if more and not self._memory.take(more, held_bytes=self._counted_bytes):
            self.release()
            return False
        self._counted_bytes += more
        return True

    def release(self) -> None:
        """Count the body no longer."""
        self._memory.give_back(self._counted_bytes)
        self._counted_bytes = 0
