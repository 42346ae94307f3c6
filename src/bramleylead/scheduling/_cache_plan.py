"""What to do with a program's cache while it pauses or its engine leaves: keep, move or rebuild.

Every way is priced in seconds of engine time. Keeping costs memory for as long as the pause lasts,
at the price that memory has now; a cache that is not kept costs a rebuild when the program comes
back. Moving costs the transfer, and its bytes when it crosses regions.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from bramleylead.scheduling._pauses import TRACKED_SHARES
from bramleylead.scheduling._pauses import PauseQuantiles

BYTES_PER_GB = 1e9
EVICTION_HORIZON_S = 60.0
"""Mean time that an unused prefix stays in an engine whose memory is just full."""


class CacheAction(StrEnum):
    """The ways."""

    KEEP = "keep"
    MOVE = "move"
    REBUILD = "rebuild"


class CachePrices(NamedTuple):
    """What the ways cost on this deployment.

    :param prefill_s_per_token: to rebuild.
    :param token_bytes: size of one token's exported cache.
    :param bytes_per_s: speed of an export within a region.
    :param region_bytes_per_s: speed of an export between regions.
    :param gb_s: seconds that a gigabyte between regions is worth.
    """

    prefill_s_per_token: float
    token_bytes: int
    bytes_per_s: float
    region_bytes_per_s: float
    gb_s: float


class CachePlan(NamedTuple):
    """The cheapest way, its expected cost in seconds, and those of the others."""

    action: CacheAction
    cost_s: float
    costs_s: dict[CacheAction, float]


def rebuild_cost_s(tokens: int, prices: CachePrices) -> float:
    """Return the engine time of computing the prefix anew."""
    return tokens * prices.prefill_s_per_token


def move_cost_s(tokens: int, prices: CachePrices, *, across_regions: bool) -> float:
    """Return the time of a transfer, and the price of its bytes when they are billed."""
    size = tokens * prices.token_bytes
    if not across_regions:
        return size / prices.bytes_per_s
    return size / prices.region_bytes_per_s + prices.gb_s * size / BYTES_PER_GB


def plan_pause(
    tokens: int, pause: PauseQuantiles, *, memory_share: float, prices: CachePrices
) -> CachePlan:
    """Decide whether a pausing program keeps its cache.

    With memory to spare, keeping costs nothing. In a full engine the prefix pushes out others' for
    as long as it is kept: the price of a token's place is a rebuild each eviction horizon.
    """
    rebuild_s = rebuild_cost_s(tokens, prices)
    pressure = max(0.0, min(1.0, (memory_share - 0.8) / 0.2))
    mean_s = _mean_s(pause)
    keep_s = pressure * rebuild_s * mean_s / EVICTION_HORIZON_S
    costs = {CacheAction.KEEP: keep_s, CacheAction.REBUILD: rebuild_s}
    return _cheapest(costs)


def plan_leaving(
    tokens: int, pause: PauseQuantiles, *, across_regions: bool, prices: CachePrices
) -> CachePlan:
    """Decide whether the cache of a leaving engine is moved, or rebuilt if the program returns.

    A transfer is paid at once, a rebuild only when the program comes back.
    """
    comes_back = max(TRACKED_SHARES[0], pause.share_within(EVICTION_HORIZON_S))
    costs = {
        CacheAction.MOVE: move_cost_s(tokens, prices, across_regions=across_regions),
        CacheAction.REBUILD: comes_back * rebuild_cost_s(tokens, prices),
    }
    return _cheapest(costs)


def _mean_s(pause: PauseQuantiles) -> float:
    """Return the mean of the pauses, each tracked share standing for those up to the next."""
    total = 0.0
    before = 0.0
    for share, seconds in zip(TRACKED_SHARES, pause.seconds, strict=True):
        total += (share - before) * seconds
        before = share
    return total + (1.0 - before) * pause.seconds[-1]


def _cheapest(costs: dict[CacheAction, float]) -> CachePlan:
    action = min(costs, key=costs.__getitem__)
    return CachePlan(action, costs[action], costs)
