"""Chooses the replica for a request by a cost of load, uncached prompt tokens and distance.

Costs are in prompt tokens that a replica could process in the same time, so that cache misses,
load and network distance can be compared. Load patterns that this answers:

- A burst finds a few replicas full and the others free: load counts the requests of all gateways,
  as far as they were reported, and a queued request costs more than a prompt read again.
- Many gateways see the same idle replica at once: replicas of nearly the same cost take turns, and
  each gateway begins with another one.
- An empty replica joins: its cache is cold, so it first gets the requests that no other replica
  has cached, and more as the others fill up.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from collections.abc import Sequence
from hashlib import blake2b
from typing import NamedTuple
from typing import final

import anyio

from bramleylead.placement._fleet_table import FleetLoad
from bramleylead.placement._replica_health import ReplicaHealth

RUNNING_COST_TOKENS = 2_400.0
"""Each running request slows down all others on the replica, and the new one."""
FULL_TURN_COST_TOKENS = 100_000.0
"""Cost of waiting for a whole turn. With more slots, the next one is free sooner."""
SPARE_SLOTS = 1.5
"""A replica's last slots are left free as long as others have room, since its load is never known
exactly."""
OTHER_DATA_CENTRE_COST_TOKENS = 400.0
OTHER_REGION_COST_TOKENS = 5_000.0
SIMILAR_COST_TOKENS = 900.0
"""Replicas whose costs differ by less are equally good."""
AFFINITY_COST_TOKENS = 2_000.0
"""Cost of a replica that is not the preferred one of the request's object."""
REPORTED_LOAD_DECAY_S = 1.0
FLEET_LOAD_DECAY_S = 3.0
"""Over this time, what other gateways have reported loses its weight."""
MAX_KNOWN_PARTS = 512
"""Prompt parts that are remembered of one replica."""
EJECTED_COST_TOKENS = 60_000.0
"""An ejected replica is chosen only if all others have long queues."""


class Candidate(NamedTuple):
    """A replica that may be chosen, and its distance."""

    name: str
    slots: int
    cache_tokens: int
    same_data_centre: bool
    same_region: bool


class Prompt(NamedTuple):
    """What a replica may have cached of a request.

    :param parts: the parts of its prompt in order, with their numbers of tokens.
    :param affinity: the object that it concerns; a replica that handled it recently is faster.
    """

    parts: tuple[tuple[str, int], ...]
    affinity: str = ""


class _OtherRequests(NamedTuple):
    """The requests of other gateways on a replica, as of a time."""

    running: float
    as_of: float


@final
class ReplicaSelector:
    """Chooses replicas by the load, caches and health that one node knows of.

    :param first_turn: which of several equal replicas is chosen first.
    """

    def __init__(self, *, first_turn: int = 0) -> None:
        self.health = ReplicaHealth()
        self._turn = first_turn
        self._own_requests: dict[str, int] = {}
        self._reported_loads: dict[str, _OtherRequests] = {}
        self._fleet_running: dict[str, int] = {}
        self._fleet_as_of = float("-inf")
        self._caches: dict[str, OrderedDict[str, int]] = {}

    @property
    def fleet_load_age_s(self) -> float | None:
        """The age of the load reported of all other gateways; ``None`` if none is known."""
        age_s = anyio.current_time() - self._fleet_as_of
        return None if age_s == float("inf") else age_s

    def choose(self, candidates: Sequence[Candidate], prompt: Prompt) -> Candidate | None:
        """Return a candidate of the lowest cost; those that are nearly as good take turns."""
        similar = self._cheapest(candidates, prompt)
        if not similar:
            return None
        self._turn += 1
        return similar[(self._turn - 1) % len(similar)]

    def choose_apart(self, candidates: Sequence[Candidate], key: bytes) -> Candidate | None:
        """Return one of the healthy candidates with a free slot, another one for each key.

        For requests of which one may crash its replica: the more of them run at replicas of their
        own, the surer the next crash tells which one it is.
        """
        ejected = self.health.ejected([candidate.name for candidate in candidates])
        healthy = [candidate for candidate in candidates if candidate.name not in ejected]
        free = [found for found in healthy if self.running(found.name) < (found.slots or 1)]
        return max(
            free or healthy,
            key=lambda candidate: blake2b(key + candidate.name.encode()).digest(),
            default=None,
        )

    def _cheapest(self, candidates: Sequence[Candidate], prompt: Prompt) -> list[Candidate]:
        """Return the candidates of the lowest cost and those that are nearly as good."""
        if not candidates:
            return []
        ejected = self.health.ejected([candidate.name for candidate in candidates])
        preferred = preferred_replica(candidates, prompt.affinity)
        costs = []
        for candidate in candidates:
            cost = self.cost(candidate, prompt)
            cost += EJECTED_COST_TOKENS if candidate.name in ejected else 0.0
            cost += AFFINITY_COST_TOKENS if preferred not in ("", candidate.name) else 0.0
            costs.append(cost)
        limit = min(costs) + SIMILAR_COST_TOKENS
        return [
            candidate for candidate, cost in zip(candidates, costs, strict=True) if cost < limit
        ]

    def cost(self, candidate: Candidate, prompt: Prompt) -> float:
        """Return the cost of running a request on a healthy replica, in tokens."""
        running = self.running(candidate.name)
        cost = RUNNING_COST_TOKENS * running
        if candidate.slots:
            queued = max(0.0, running + 1 - (candidate.slots - SPARE_SLOTS))
            cost += queued * FULL_TURN_COST_TOKENS / candidate.slots
        cost += self._uncached_tokens(candidate.name, prompt)
        if not candidate.same_region:
            return cost + OTHER_REGION_COST_TOKENS
        if not candidate.same_data_centre:
            return cost + OTHER_DATA_CENTRE_COST_TOKENS
        return cost

    def running(self, name: str) -> float:
        """Return the requests on a replica: this node's own and those of others, as last known."""
        now = anyio.current_time()
        own = float(self._own_requests.get(name, 0))
        reported = self._reported_loads.get(name)
        runs_turns = bool(self._caches.get(name))
        # Gateways report with their turns only, too rarely for replicas of plain services.
        if reported is not None and (reported.as_of > self._fleet_as_of or not runs_turns):
            age_s = now - reported.as_of
            return own + reported.running * max(0.0, 1.0 - age_s / REPORTED_LOAD_DECAY_S)
        if not self._fleet_running:
            return own
        weight = max(0.0, 1.0 - (now - self._fleet_as_of) / FLEET_LOAD_DECAY_S)
        return own + weight * self._fleet_running.get(name, 0)

    def running_by_replica(self) -> dict[str, int]:
        """Return this node's own requests, without the replicas that have none."""
        return {name: running for name, running in self._own_requests.items() if running}

    def record_fleet_load(self, load: FleetLoad, prompt: Prompt) -> None:
        """Record the requests of all other gateways, and who has the parts of a prompt cached.

        :param prompt: the prompt whose parts ``load.holders`` belong to.
        """
        self._fleet_running = load.running
        self._fleet_as_of = anyio.current_time()
        last = len(prompt.parts) - 1
        for position, ((part, tokens), holders) in enumerate(
            zip(prompt.parts, load.holders, strict=False)
        ):
            # The last part grows from turn to turn, so only its latest holder has all of it.
            for name in holders[:1] if position == last else holders:
                self._remember(name, part, tokens)

    def own_requests(self, name: str) -> int:
        """Return the number of this node's own requests on a replica."""
        return self._own_requests.get(name, 0)

    def start_request(self, candidate: Candidate, prompt: Prompt) -> None:
        """Count a request sent to a replica, and assume that its prompt is cached there."""
        self.health.start_request(candidate.name)
        self._count_start(candidate.name)
        cache = self._caches.setdefault(candidate.name, OrderedDict())
        for part, tokens in prompt.parts:
            self._remember(candidate.name, part, tokens)
        cached_tokens = sum(cache.values())
        while cached_tokens > candidate.cache_tokens and len(cache) > 1:
            cached_tokens -= cache.popitem(last=False)[1]

    def end_request(self, name: str) -> None:
        """Count the end of a request."""
        self.health.end_request(name)
        self._count_end(name)

    def record_load(self, name: str, total: int) -> None:
        """Record the number of requests that a replica reports, including this node's own."""
        others = max(0, total - self._own_requests.get(name, 0))
        self._reported_loads[name] = _OtherRequests(float(others), anyio.current_time())

    def forget(self, names: Iterable[str]) -> None:
        """Drop the state of removed replicas."""
        for name in names:
            self.health.forget(name)
            for state in (self._own_requests, self._reported_loads, self._caches):
                state.pop(name, None)

    def known_replicas(self) -> set[str]:
        """Return the replicas that have recorded state."""
        return {
            *self._own_requests,
            *self._reported_loads,
            *self._caches,
            *self.health.known_replicas(),
        }

    def _remember(self, name: str, part: str, tokens: int) -> None:
        """Assume that a replica has a prompt part cached."""
        cache = self._caches.setdefault(name, OrderedDict())
        cache[part] = tokens
        cache.move_to_end(part)
        if len(cache) > MAX_KNOWN_PARTS:
            cache.popitem(last=False)

    def _count_start(self, name: str) -> None:
        self._own_requests[name] = self._own_requests.get(name, 0) + 1

    def _count_end(self, name: str) -> None:
        running = self._own_requests.get(name, 0) - 1
        if running > 0:
            self._own_requests[name] = running
        else:
            self._own_requests.pop(name, None)

    def _uncached_tokens(self, name: str, prompt: Prompt) -> int:
        """Return the tokens from the first uncached part on, which the replica has to process."""
        cache = self._caches.get(name, OrderedDict())
        uncached = False
        total = 0
        for part, tokens in prompt.parts:
            uncached = uncached or part not in cache
            total += tokens if uncached else max(0, tokens - cache[part])
        return total


def preferred_replica(candidates: Sequence[Candidate], affinity: str) -> str:
    """Return the replica that all gateways of a region prefer for an object; empty without one."""
    near = [candidate.name for candidate in candidates if candidate.same_region]
    if not affinity or not near:
        return ""
    return max(near, key=lambda name: blake2b(f"{affinity} {name}".encode()).digest())
