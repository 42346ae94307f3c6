"""The highest ticket number reported by peers, and whether this node has caught up with it."""

from __future__ import annotations

from typing import final

import anyio


@final
class PeerTicketNumbers:
    """Tracks how long this node has lacked a ticket that a peer has in force."""

    def __init__(self) -> None:
        self._behind_since: float | None = None
        self.highest = 0
        self.caught_up = False
        """Whether this node has, at some time since it started, had the highest reported number."""

    def record(self, number: int, *, applied: int) -> None:
        """Record the number in force on a peer."""
        self.highest = max(self.highest, number)
        if self.highest <= applied:
            self.caught_up = True
        elif self._behind_since is None:
            self._behind_since = anyio.current_time()

    def set_applied(self, number: int) -> None:
        """Record that the tickets up to a number are in force on this node."""
        if number >= self.highest:
            self.caught_up = self.caught_up or self.highest > 0
            self._behind_since = None

    def is_behind(self, bound_s: float) -> bool:
        """Whether this node has lacked a peer's ticket for more than ``bound_s`` seconds."""
        if self._behind_since is None:
            return False
        return anyio.current_time() - self._behind_since > bound_s
