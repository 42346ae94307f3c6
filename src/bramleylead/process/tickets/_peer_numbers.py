"""The highest ticket number that peers have named, and whether this node has it."""

from __future__ import annotations

from typing import final

import anyio


@final
class PeerNumbers:
    """Notes how long this node has lacked a ticket that a peer has in force."""

    def __init__(self) -> None:
        self._behind_since: float | None = None
        self.highest = 0
        self.caught_up = False
        """Whether this node has once had the highest number named to it since its start."""

    def hear(self, number: int, *, applied: int) -> None:
        """Take in the number in force on a peer."""
        self.highest = max(self.highest, number)
        if self.highest <= applied:
            self.caught_up = True
        elif self._behind_since is None:
            self._behind_since = anyio.current_time()

    def note_applied(self, number: int) -> None:
        """Take in that the tickets up to a number are in force here."""
        if number >= self.highest:
            self.caught_up = self.caught_up or self.highest > 0
            self._behind_since = None

    def is_behind(self, bound_s: float) -> bool:
        """Whether a peer has had a later ticket for longer than a bound."""
        if self._behind_since is None:
            return False
        return anyio.current_time() - self._behind_since > bound_s
