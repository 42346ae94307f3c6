"""Selects the pool for a call. The program's owner does this from load reports that may be old.

Pools of the home region are preferred. Another one is chosen only if its wait is shorter by more
than the cost of rebuilding the cache there and of the bytes sent between regions. With its age, a
pool's reported wait loses weight against the mean wait of all pools. Among pools of similar cost,
two are drawn at random and the less busy one is chosen ("The Power of Two Choices in Randomized
Load Balancing", Mitzenmacher, 2001), so that many owners with the same old reports don't all choose
the same pool.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Annotated
from typing import NamedTuple
from typing import final

import xxhash
from pydantic import Field

from bramleylead.scheduling._down_endpoints import DownEndpoints
from bramleylead.scheduling._pool_load import PoolNews
from bramleylead.scheduling._pools import PoolKey
from bramleylead.scheduling._types import SlotRequest
from bramleylead.validation import Strict
from bramleylead.version import Endpoint

PROMPT_BYTES_PER_TOKEN = 5
"""Bytes sent between regions for each token of prompt or answer, which are sent as text."""
BYTES_PER_GB = 1e9
MAX_FAILURES_PER_POOL = 2
"""Number of failures of one call in a pool after which it goes to another pool."""
MEAN_WEIGHT = 0.1
"""Weight of a new load report in the moving average of the waits of all pools."""


class ChooserParameters(Strict):
    """Weights for the choice of a pool by an owner; times in seconds.

    :param news_half_life_s: age at which a pool's load report has half its weight.
    :param prefill_s_per_token: cost of recomputing a cached token in another pool.
    :param rebuild_weight: weight of that cost; above 1, since it also delays other calls there.
    :param memory_s: cost for a new program of a pool whose cache memory is fully in use.
    :param region_s: cost of a pool outside the program's home region.
    :param gb_s: cost of a gigabyte sent between regions.
    :param alike_s: pools whose cost exceeds the lowest by at most this are drawn from at random.
    """

    news_half_life_s: Annotated[float, Field(gt=0)] = 2.0
    prefill_s_per_token: Annotated[float, Field(ge=0)] = 0.00015
    rebuild_weight: Annotated[float, Field(ge=0)] = 2.0
    memory_s: Annotated[float, Field(ge=0)] = 4.0
    region_s: Annotated[float, Field(ge=0)] = 0.25
    gb_s: Annotated[float, Field(ge=0)] = 20.0
    alike_s: Annotated[float, Field(ge=0)] = 0.05


class PoolChoice(NamedTuple):
    """The pool to request a slot from, and the reason."""

    key: PoolKey
    reason: str


@dataclass(slots=True)
class _ReportedLoad:
    """The last load report of a pool, and the number of calls sent there since by this owner."""

    load: PoolNews
    at_s: float
    sent_since: int = 0


Pools = Mapping[PoolKey, Mapping[str, Endpoint]]
PoolRule = Callable[["PoolChooser", Sequence[PoolKey], SlotRequest, float], PoolChoice]
_RULES: dict[str, PoolRule] = {}


def pool_rule(policy: str) -> Callable[[PoolRule], PoolRule]:
    """Register the function that chooses pools for a policy."""

    def register(rule: PoolRule) -> PoolRule:
        _RULES[policy] = rule
        return rule

    return register


@final
class PoolChooser:
    """Chooses pools for the calls of one owner."""

    def __init__(self, policy: str, parameters: ChooserParameters, *, rng: random.Random) -> None:
        self._rule = _RULES.get(policy, _RULES["bramleylead"])
        self.parameters = parameters
        self.rng = rng
        self.turn = 0
        self.pools: Pools = {}
        self.down = DownEndpoints()
        self._reported: dict[str, _ReportedLoad] = {}
        self._mean_wait_s = [0.0, 0.0]

    def set_pools(self, pools: Pools) -> None:
        """Replace the pools by those of the current configuration."""
        self.pools = pools
        names = {str(key) for key in pools}
        for removed_name in [name for name in self._reported if name not in names]:
            del self._reported[removed_name]
        self.down.retain({name for endpoints in pools.values() for name in endpoints})

    def update_load(self, load: PoolNews, now: float) -> None:
        """Store the load that a pool sent along with an answer."""
        self._reported[load.pool] = _ReportedLoad(load, now)
        for new_program, wait_s in enumerate((load.expected_wait_s, load.new_program_wait_s)):
            self._mean_wait_s[new_program] += MEAN_WEIGHT * (
                wait_s - self._mean_wait_s[new_program]
            )

    def choose(
        self, request: SlotRequest, now: float, *, avoid: Sequence[PoolKey] = ()
    ) -> PoolChoice | None:
        """Return the pool to request a slot from, or ``None`` if no pool serves the call."""
        serving = [
            key
            for key, endpoints in self.pools.items()
            if key.serves == request.serves and _has_remaining_endpoint(endpoints)
        ]
        candidates = [key for key in serving if key not in avoid] or serving
        candidates = [
            key for key in candidates if not self._is_down(key, request, now)
        ] or candidates
        if not candidates:
            return None
        choice = self._rule(self, candidates, request, now)
        reported = self._reported.get(str(choice.key))
        if reported is not None:
            reported.sent_since += 1
        return choice

    def _is_down(self, key: PoolKey, request: SlotRequest, now: float) -> bool:
        endpoints = self.pools[key]
        failed_names = [name for name in request.avoid if name in endpoints]
        if len(failed_names) >= MAX_FAILURES_PER_POOL or any(
            self.down.is_down(name, now) for name in failed_names
        ):
            return True
        remaining_names = [name for name, item in endpoints.items() if not item.leaving]
        return self.down.all_down(remaining_names, request.avoid, now)

    def expected_wait_s(self, key: PoolKey, now: float, *, new_program: bool) -> float:
        """Return the expected wait in a pool.

        This is a mean of its reported wait and that of all pools, weighted by the report's age.
        A term for the calls that this owner has sent there since is added.
        """
        reported = self._reported.get(str(key))
        mean_s = self._mean_wait_s[new_program]
        if reported is None:
            return mean_s
        report_weight = 0.5 ** ((now - reported.at_s) / self.parameters.news_half_life_s)
        load = reported.load
        reported_wait_s = load.new_program_wait_s if new_program else load.expected_wait_s
        wait_s = report_weight * reported_wait_s + (1 - report_weight) * mean_s
        free_slots = load.slots - load.running - reported.sent_since
        if free_slots < 0 and load.slots > 0:
            wait_s += report_weight * -free_slots / load.slots
        return wait_s

    def memory_share(self, key: PoolKey) -> float:
        """Return the share of a pool's cache memory that was in use at its last report."""
        reported = self._reported.get(str(key))
        return 0.0 if reported is None else reported.load.memory_share

    def calls_per_endpoint(self, key: PoolKey) -> float:
        """Return the last known number of calls per endpoint of a pool."""
        reported = self._reported.get(str(key))
        if reported is None:
            return 0.0
        calls = reported.load.running + reported.load.queued + reported.sent_since
        return calls / max(1, reported.load.endpoints)


def _has_remaining_endpoint(endpoints: Mapping[str, Endpoint]) -> bool:
    return any(not endpoint.leaving for endpoint in endpoints.values())


def _cached_tokens(endpoints: Mapping[str, Endpoint], request: SlotRequest) -> int:
    cached_tokens = [tokens for name, tokens in request.cached.items() if name in endpoints]
    return min(request.prompt_tokens, max(cached_tokens, default=0))


@pool_rule("bramleylead")
def _by_cost(
    chooser: PoolChooser, keys: Sequence[PoolKey], request: SlotRequest, now: float
) -> PoolChoice:
    costs = [(_cost_s(chooser, key, request, now), key) for key in keys]
    best_s = min(cost for cost, _ in costs)
    similar = [(cost, key) for cost, key in costs if cost <= best_s + chooser.parameters.alike_s]
    if len(similar) > 1:
        pair = chooser.rng.sample(similar, 2)
        cost, key = min(pair, key=lambda item: chooser.calls_per_endpoint(item[1]))
        return PoolChoice(
            key, f"cost {cost:.3f} s, drawn from {len(similar)} pools of similar cost"
        )
    cost, key = similar[0]
    return PoolChoice(key, f"cost {cost:.3f} s, the cheapest of {len(keys)} pools")


def _cost_s(chooser: PoolChooser, key: PoolKey, request: SlotRequest, now: float) -> float:
    parameters = chooser.parameters
    missing_tokens = request.prompt_tokens - _cached_tokens(chooser.pools[key], request)
    new_program = request.attained == 0
    cost_s = chooser.expected_wait_s(key, now, new_program=new_program)
    cost_s += parameters.rebuild_weight * missing_tokens * parameters.prefill_s_per_token
    if new_program:
        cost_s += parameters.memory_s * chooser.memory_share(key)
    if key.region != (request.home_region or request.region):
        cost_s += parameters.region_s
    if key.region != request.region:
        sent_bytes = (
            request.prompt_tokens + request.expected_output_tokens
        ) * PROMPT_BYTES_PER_TOKEN
        cost_s += parameters.gb_s * sent_bytes / BYTES_PER_GB
    return cost_s


@pool_rule("round_robin")
def _round_robin(
    chooser: PoolChooser, keys: Sequence[PoolKey], request: SlotRequest, now: float
) -> PoolChoice:
    chooser.turn += 1
    return PoolChoice(keys[chooser.turn % len(keys)], "round robin")


@pool_rule("fcfs")
def _home_first(
    chooser: PoolChooser, keys: Sequence[PoolKey], request: SlotRequest, now: float
) -> PoolChoice:
    home = request.home_region or request.region
    in_home_region = [key for key in keys if key.region == home] or list(keys)
    return PoolChoice(
        in_home_region[xxhash.xxh64_intdigest(request.call.encode()) % len(in_home_region)],
        "home region",
    )


@pool_rule("least_outstanding")
def _least_outstanding(
    chooser: PoolChooser, keys: Sequence[PoolKey], request: SlotRequest, now: float
) -> PoolChoice:
    jitter = {key: chooser.rng.random() for key in keys}
    key = min(keys, key=lambda key: (chooser.calls_per_endpoint(key), jitter[key]))
    return PoolChoice(key, "fewest outstanding calls per endpoint")


@pool_rule("prefix_affinity")
def _prefix_affinity(
    chooser: PoolChooser, keys: Sequence[PoolKey], request: SlotRequest, now: float
) -> PoolChoice:
    key = max(keys, key=lambda key: xxhash.xxh64_intdigest(f"{request.program}|{key}".encode()))
    return PoolChoice(key, "hash of the program")
