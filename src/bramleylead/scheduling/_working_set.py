"""The working set of an engine: the prefixes that were used within a time window.

The working set (Denning, "The Working Set Model for Program Behavior", 1968) shows when one more
program would cause thrashing, in which the programs evict each other's caches in turn.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple
from typing import final


class _Use(NamedTuple):
    tokens: int
    at_s: float


@final
class WorkingSet:
    """Sums the tokens of recently used prefixes, in constant time per event."""

    def __init__(self) -> None:
        self._uses: OrderedDict[str, _Use] = OrderedDict()
        self._tokens = 0

    def touch(self, program: str, tokens: int, now: float) -> None:
        """Record that a prefix with this number of tokens is used now."""
        self.drop(program)
        self._uses[program] = _Use(tokens, now)
        self._tokens += tokens

    def drop(self, program: str) -> None:
        """Remove a program's prefix."""
        use = self._uses.pop(program, None)
        if use is not None:
            self._tokens -= use.tokens

    def tokens(self, now: float, window_s: float) -> int:
        """Return the tokens used within the window, and remove older uses."""
        while self._uses:
            program, use = next(iter(self._uses.items()))
            if use.at_s >= now - window_s:
                break
            self.drop(program)
        return self._tokens
