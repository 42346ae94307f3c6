"""A lower bound of the recomputed tokens: one cache of all engines' memory, with full knowledge.

For a given order of calls no cache of this size does better than evicting what is used furthest in
the future (Belady, "A Study of Replacement Algorithms for a Virtual-Storage Computer", 1966). A
prefix is counted token by token here, evicted from its end, all engines share one memory, and
running calls need none beside it: each of these only lowers the bound.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Sequence
from typing import NamedTuple


class PrefixUse(NamedTuple):
    """One call as the cache sees it.

    :param known_tokens: tokens of its prompt that were computed before.
    :param held_tokens: tokens that can be held after it.
    """

    at_s: float
    program: str
    known_tokens: int
    held_tokens: int


def recomputed_bound(uses: Sequence[PrefixUse], memory_tokens: int) -> int:
    """Return the fewest tokens that any cache of this size would have to compute again."""
    ordered = sorted(uses)
    next_at = _next_uses(ordered)
    held: dict[str, int] = {}
    furthest: list[tuple[float, str, float]] = []
    total = 0
    recomputed = 0
    for use, later_s in zip(ordered, next_at, strict=True):
        recomputed += use.known_tokens - min(use.known_tokens, held.get(use.program, 0))
        total -= held.pop(use.program, 0)
        if later_s == math.inf:
            continue
        held[use.program] = use.held_tokens
        total += use.held_tokens
        heapq.heappush(furthest, (-later_s, use.program, use.at_s))
        while total > memory_tokens:
            total -= _evict(held, furthest, total - memory_tokens, use.at_s)
    return recomputed


def _next_uses(ordered: Sequence[PrefixUse]) -> list[float]:
    following: dict[str, float] = {}
    found = [math.inf] * len(ordered)
    for index in range(len(ordered) - 1, -1, -1):
        use = ordered[index]
        found[index] = following.get(use.program, math.inf)
        following[use.program] = use.at_s
    return found


def _evict(
    held: dict[str, int], furthest: list[tuple[float, str, float]], excess: int, now: float
) -> int:
    """Cut the prefix that is used last; returns the tokens freed."""
    next_use, program, _ = furthest[0]
    tokens = held.get(program, 0)
    if tokens == 0 or -next_use <= now:
        heapq.heappop(furthest)
        return 0
    freed = min(tokens, excess)
    held[program] = tokens - freed
    if freed == tokens:
        heapq.heappop(furthest)
    return freed
