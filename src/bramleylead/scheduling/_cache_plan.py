"""Decides whether to keep, move or rebuild a cache when its program pauses or its engine leaves.

Each action has a cost in seconds of engine time. Keeping the cache uses memory during the pause, at
the current price of memory. Dropping it costs a rebuild when the program continues. Moving it costs
the transfer, and also its bytes if they cross regions.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from bramleylead.scheduling._pauses import TRACKED_QUANTILES
from bramleylead.scheduling._pauses import PauseQuantiles

BYTES_PER_GB = 1e9
EVICTION_HORIZON_S = 60.0
"""Mean time that an unused prefix stays cached in an engine whose memory is just full."""


class CacheAction(StrEnum):
    """Possible actions for a cache."""

    KEEP = "keep"
    MOVE = "move"
    REBUILD = "rebuild"


class CachePrices(NamedTuple):
    """Prices of the actions in this deployment.

    :param prefill_s_per_token: engine time to rebuild one cached token.
    :param token_bytes: size of one token's exported cache.
    :param bytes_per_s: transfer rate of an export within a region.
    :param region_bytes_per_s: transfer rate of an export between regions.
    :param gb_s: price in seconds of a gigabyte between regions.
    """

    prefill_s_per_token: float
    token_bytes: int
    bytes_per_s: float
    region_bytes_per_s: float
    gb_s: float


class CachePlan(NamedTuple):
    """The cheapest action, its expected cost in seconds, and the costs of all options."""

    action: CacheAction
    cost_s: float
    costs_s: dict[CacheAction, float]


def rebuild_cost_s(tokens: int, prices: CachePrices) -> float:
    """Return the engine time needed to recompute the prefix."""
    return tokens * prices.prefill_s_per_token


def move_cost_s(tokens: int, prices: CachePrices, *, across_regions: bool) -> float:
    """Return the cost of a transfer: its time, and the price of its bytes between regions."""
    size = tokens * prices.token_bytes
    if not across_regions:
        return size / prices.bytes_per_s
    return size / prices.region_bytes_per_s + prices.gb_s * size / BYTES_PER_GB


def plan_pause(
    tokens: int, pause: PauseQuantiles, *, memory_share: float, prices: CachePrices
) -> CachePlan:
    """Decide whether a pausing program keeps its cache.

    Keeping it is free while memory is free. In a full engine, the kept prefix evicts others, and
    keeping a token costs one rebuild for each ``EVICTION_HORIZON_S``.
    """
    rebuild_s = rebuild_cost_s(tokens, prices)
    pressure = max(0.0, min(1.0, (memory_share - 0.8) / 0.2))
    mean_pause_s = _mean_pause_s(pause)
    keep_s = pressure * rebuild_s * mean_pause_s / EVICTION_HORIZON_S
    costs = {CacheAction.KEEP: keep_s, CacheAction.REBUILD: rebuild_s}
    return _cheapest(costs)


def plan_leaving(
    tokens: int, pause: PauseQuantiles, *, across_regions: bool, prices: CachePrices
) -> CachePlan:
    """Decide whether to move the cache of a leaving engine or to rebuild it later.

    A transfer is always paid. A rebuild is paid only if the program continues.
    """
    return_probability = max(TRACKED_QUANTILES[0], pause.share_within(EVICTION_HORIZON_S))
    costs = {
        CacheAction.MOVE: move_cost_s(tokens, prices, across_regions=across_regions),
        CacheAction.REBUILD: return_probability * rebuild_cost_s(tokens, prices),
    }
    return _cheapest(costs)


def _mean_pause_s(pause: PauseQuantiles) -> float:
    """Return the mean pause, with each quantile standing for the pauses since the previous one."""
    total = 0.0
    previous_share = 0.0
    for share, seconds in zip(TRACKED_QUANTILES, pause.seconds, strict=True):
        total += (share - previous_share) * seconds
        previous_share = share
    return total + (1.0 - previous_share) * pause.seconds[-1]


def _cheapest(costs: dict[CacheAction, float]) -> CachePlan:
    action = min(costs, key=costs.__getitem__)
    return CachePlan(action, costs[action], costs)
