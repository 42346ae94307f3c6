"""Which pool a call goes to, chosen by the owner from news that may be old.

The home data centre's pool comes first. Another one is taken only when the wait there is shorter by
more than what the cache costs to rebuild, with the bytes between regions priced. News fades with
age towards "as busy as the average", and among pools that look alike two drawn at random are
compared ("The Power of Two Choices in Randomized Load Balancing", Mitzenmacher, 2001), so that many
owners with the same old news do not all send to one pool.
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

from bramleylead.scheduling._down import DownEndpoints
from bramleylead.scheduling._news import PoolNews
from bramleylead.scheduling._pools import PoolKey
from bramleylead.scheduling._types import SlotRequest
from bramleylead.version import Endpoint
from bramleylead.version._schema import Strict

PROMPT_BYTES_PER_TOKEN = 5
"""Bytes between regions for a token of prompt or answer sent as text."""
BYTES_PER_GB = 1e9
MOST_TRIES = 2
"""Failures of one call in a pool after which it goes to another."""
MEAN_WEIGHT = 0.1
"""Weight of one pool's news in the mean over all pools."""


class ChooserParameters(Strict):
    """Weights of the owner's choice of a pool. Times in seconds.

    :param news_half_life_s: age at which a pool's news counts half.
    :param prefill_s_per_token: price of recomputing a cached token in another pool.
    :param rebuild_weight: weight of that price; above 1, since it also delays the calls there.
    :param memory_s: seconds that full cache memory is worth to a new program.
    :param region_s: added for every pool outside the program's region.
    :param gb_s: seconds that a gigabyte between regions is worth.
    :param alike_s: pools within this of the best one are drawn from at random.
    """

    news_half_life_s: Annotated[float, Field(gt=0)] = 2.0
    prefill_s_per_token: Annotated[float, Field(ge=0)] = 0.00015
    rebuild_weight: Annotated[float, Field(ge=0)] = 2.0
    memory_s: Annotated[float, Field(ge=0)] = 4.0
    region_s: Annotated[float, Field(ge=0)] = 0.25
    gb_s: Annotated[float, Field(ge=0)] = 20.0
    alike_s: Annotated[float, Field(ge=0)] = 0.05


class PoolChoice(NamedTuple):
    """The pool to ask, and why."""

    key: PoolKey
    reason: str


@dataclass(slots=True)
class _Heard:
    """The last news of a pool, and the calls that this owner sent there since."""

    news: PoolNews
    at_s: float
    sent_since: int = 0


Pools = Mapping[PoolKey, Mapping[str, Endpoint]]
PoolRule = Callable[["PoolChooser", Sequence[PoolKey], SlotRequest, float], PoolChoice]
_RULES: dict[str, PoolRule] = {}


def pool_rule(policy: str) -> Callable[[PoolRule], PoolRule]:
    """Register how a policy chooses pools."""

    def register(rule: PoolRule) -> PoolRule:
        _RULES[policy] = rule
        return rule

    return register


@final
class PoolChooser:
    """Chooses pools for one owner."""

    def __init__(self, policy: str, parameters: ChooserParameters, *, rng: random.Random) -> None:
        self._rule = _RULES.get(policy, _RULES["bramleylead"])
        self.parameters = parameters
        self.rng = rng
        self.turn = 0
        self.pools: Pools = {}
        self.down = DownEndpoints()
        self._heard: dict[str, _Heard] = {}
        self._mean_wait_s = [0.0, 0.0]

    def set_pools(self, pools: Pools) -> None:
        """Take in the pools of the configuration in force."""
        self.pools = pools
        names = {str(key) for key in pools}
        for gone in [name for name in self._heard if name not in names]:
            del self._heard[gone]
        self.down.forget_others({name for endpoints in pools.values() for name in endpoints})

    def hear(self, news: PoolNews, now: float) -> None:
        """Take in a pool's news, piggybacked on an answer."""
        self._heard[news.pool] = _Heard(news, now)
        for new, wait_s in enumerate((news.expected_wait_s, news.new_wait_s)):
            self._mean_wait_s[new] += MEAN_WEIGHT * (wait_s - self._mean_wait_s[new])

    def choose(
        self, request: SlotRequest, now: float, *, avoid: Sequence[PoolKey] = ()
    ) -> PoolChoice | None:
        """Return the pool to ask for a slot, or ``None`` when nothing serves the call."""
        serving = [
            key
            for key, endpoints in self.pools.items()
            if key.serves == request.serves and _any_stays(endpoints)
        ]
        fresh = [key for key in serving if key not in avoid] or serving
        fresh = [key for key in fresh if not self._is_down(key, request, now)] or fresh
        if not fresh:
            return None
        choice = self._rule(self, fresh, request, now)
        heard = self._heard.get(str(choice.key))
        if heard is not None:
            heard.sent_since += 1
        return choice

    def _is_down(self, key: PoolKey, request: SlotRequest, now: float) -> bool:
        endpoints = self.pools[key]
        tried = [name for name in request.avoid if name in endpoints]
        if len(tried) >= MOST_TRIES or any(self.down.is_down(name, now) for name in tried):
            return True
        staying = [name for name, item in endpoints.items() if not item.leaving]
        return self.down.all_down(staying, request.avoid, now)

    def expected_wait_s(self, key: PoolKey, now: float, *, new: bool) -> float:
        """Return the expected wait at a pool: its news, faded, and what was sent there since."""
        heard = self._heard.get(str(key))
        mean_s = self._mean_wait_s[new]
        if heard is None:
            return mean_s
        trust = 0.5 ** ((now - heard.at_s) / self.parameters.news_half_life_s)
        news = heard.news
        seen_s = news.new_wait_s if new else news.expected_wait_s
        wait_s = trust * seen_s + (1 - trust) * mean_s
        free = news.slots - news.running - heard.sent_since
        if free < 0 and news.slots > 0:
            wait_s += trust * -free / news.slots
        return wait_s

    def memory_share(self, key: PoolKey) -> float:
        """Return the part of a pool's cache memory that was last in use."""
        heard = self._heard.get(str(key))
        return 0.0 if heard is None else heard.news.memory_share

    def outstanding(self, key: PoolKey) -> float:
        """Return calls an endpoint as far as known."""
        heard = self._heard.get(str(key))
        if heard is None:
            return 0.0
        calls = heard.news.running + heard.news.queued + heard.sent_since
        return calls / max(1, heard.news.endpoints)


def _any_stays(endpoints: Mapping[str, Endpoint]) -> bool:
    return any(not endpoint.leaving for endpoint in endpoints.values())


def _held(endpoints: Mapping[str, Endpoint], request: SlotRequest) -> int:
    held = [tokens for name, tokens in request.cached.items() if name in endpoints]
    return min(request.prompt_tokens, max(held, default=0))


@pool_rule("bramleylead")
def _by_cost(
    chooser: PoolChooser, keys: Sequence[PoolKey], request: SlotRequest, now: float
) -> PoolChoice:
    costs = [(_cost_s(chooser, key, request, now), key) for key in keys]
    best_s = min(cost for cost, _ in costs)
    alike = [(cost, key) for cost, key in costs if cost <= best_s + chooser.parameters.alike_s]
    if len(alike) > 1:
        drawn = chooser.rng.sample(alike, 2)
        cost, key = min(drawn, key=lambda item: chooser.outstanding(item[1]))
        return PoolChoice(key, f"cost {cost:.3f} s, {len(alike)} pools alike")
    cost, key = alike[0]
    return PoolChoice(key, f"cost {cost:.3f} s, the cheapest of {len(keys)} pools")


def _cost_s(chooser: PoolChooser, key: PoolKey, request: SlotRequest, now: float) -> float:
    parameters = chooser.parameters
    missing = request.prompt_tokens - _held(chooser.pools[key], request)
    new = request.attained == 0
    cost_s = chooser.expected_wait_s(key, now, new=new)
    cost_s += parameters.rebuild_weight * missing * parameters.prefill_s_per_token
    if new:
        cost_s += parameters.memory_s * chooser.memory_share(key)
    if key.region != (request.home_region or request.region):
        cost_s += parameters.region_s
    if key.region != request.region:
        sent = (request.prompt_tokens + request.expected_output) * PROMPT_BYTES_PER_TOKEN
        cost_s += parameters.gb_s * sent / BYTES_PER_GB
    return cost_s


@pool_rule("round_robin")
def _in_turn(
    chooser: PoolChooser, keys: Sequence[PoolKey], request: SlotRequest, now: float
) -> PoolChoice:
    chooser.turn += 1
    return PoolChoice(keys[chooser.turn % len(keys)], "its turn")


@pool_rule("fcfs")
def _home_first(
    chooser: PoolChooser, keys: Sequence[PoolKey], request: SlotRequest, now: float
) -> PoolChoice:
    home = request.home_region or request.region
    near = [key for key in keys if key.region == home] or list(keys)
    return PoolChoice(
        near[xxhash.xxh64_intdigest(request.call.encode()) % len(near)], "home region"
    )


@pool_rule("least_outstanding")
def _least_busy(
    chooser: PoolChooser, keys: Sequence[PoolKey], request: SlotRequest, now: float
) -> PoolChoice:
    jitter = {key: chooser.rng.random() for key in keys}
    key = min(keys, key=lambda key: (chooser.outstanding(key), jitter[key]))
    return PoolChoice(key, "fewest outstanding calls an endpoint")


@pool_rule("prefix_affinity")
def _by_hash(
    chooser: PoolChooser, keys: Sequence[PoolKey], request: SlotRequest, now: float
) -> PoolChoice:
    key = max(keys, key=lambda key: xxhash.xxh64_intdigest(f"{request.program}|{key}".encode()))
    return PoolChoice(key, "hash of the program")
