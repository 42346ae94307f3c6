"""Chooses the replica for a request by a cost of load, uncached prompt tokens and distance.

Costs are in prompt tokens that a replica could process in the same time, so that cache misses,
load and network distance can be compared. Load patterns that this answers:

- A burst finds a few replicas full and the others free: load counts the requests of all gateways,
  as far as they were reported, and a queued request costs more than a prompt read again.
- Many gateways see the same idle replica at once: replicas of nearly the same cost take turns, and
  each gateway begins with another one.
- An empty replica joins: its cache is cold, so it first gets the requests that no other replica
  has cached, and more as the others fill up.
- Replicas change speed: what takes longer on a slow one costs more by its expected slowdown.
- Long histories fill a replica's memory: replicas without room for a request are no candidates.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
from hashlib import blake2b
from typing import NamedTuple
from typing import final

import anyio

from bramleylead.placement._fleet_table import FleetLoad
from bramleylead.placement._held_tokens import HeldTokens
from bramleylead.placement._prompt import Prompt
from bramleylead.placement._prompt_caches import PromptCaches
from bramleylead.placement._replica_health import ReplicaHealth
from bramleylead.placement._replica_speed import USUAL
from bramleylead.placement._replica_speed import ReplicaSpeed

RUNNING_COST_TOKENS = 2_400.0
"""Each running request slows down all others on the replica, and the new one."""
FULL_TURN_COST_TOKENS = 100_000.0
"""Cost of waiting for a whole turn. With more slots, the next one is free sooner."""
OWN_TURN_COST_TOKENS = 40_000.0
"""Cost of a turn's own output at the usual speed, of which only what a slow replica adds counts. A
turn of 0.3 s takes as long as reading 44,000 tokens; with 20,000, goodput was a hundredth less."""
NEW_PROGRAM_RESERVE = 0.2
"""Share of a replica's memory that first turns leave free, for programs in progress and for
placements that aren't known yet. Without it, three times as many requests met a full memory."""
SPARE_SLOTS = 1.5
"""A replica's last slots are left free as long as others have room, since its load is never known
exactly."""
OTHER_DATA_CENTRE_COST_TOKENS = 400.0
OTHER_REGION_COST_TOKENS = 5_000.0
UNEVEN_DATA_CENTRE_COST_TOKENS = 6_000.0
"""For turns, if replicas report their speed: their bytes across the border are expensive. With 400,
replicas of other data centres took turns with equally loaded ones nearby."""
UNEVEN_REGION_COST_TOKENS = 12_000.0
SIMILAR_COST_TOKENS = 900.0
"""Replicas whose costs differ by less are equally good."""
AFFINITY_COST_TOKENS = 2_000.0
"""Cost of a replica that is not the preferred one of the request's object."""
REPORTED_LOAD_DECAY_S = 1.0
FLEET_LOAD_DECAY_S = 3.0
"""Over this time, what other gateways have reported loses its weight."""
EJECTED_COST_TOKENS = 60_000.0
"""An ejected replica is chosen only if all others have long queues."""


class Candidate(NamedTuple):
    """A replica that may be chosen, and its distance."""

    name: str
    slots: int
    cache_tokens: int
    same_data_centre: bool
    same_region: bool


class _OtherRequests(NamedTuple):
    """The requests of other gateways on a replica, as of a time."""

    running: float
    as_of: float


@final
class ReplicaSelector:
    """Chooses replicas by the load, caches and health that one node knows of.

    :param first_turn: which of several equal replicas is chosen first.
    :param bounds_memory: whether a replica crashes if its requests exceed its memory.
    """

    def __init__(self, *, first_turn: int = 0, bounds_memory: bool = True) -> None:
        self.bounds_memory = bounds_memory
        self.health = ReplicaHealth()
        self.speed = ReplicaSpeed()
        self.held = HeldTokens()
        self._turn = first_turn
        self._own_requests: dict[str, int] = {}
        self._reported_loads: dict[str, _OtherRequests] = {}
        self._fleet_running: dict[str, int] = {}
        self._fleet_as_of = float("-inf")
        self._caches = PromptCaches()

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
        cost += self._caches.uncached_tokens(candidate.name, prompt)
        slowdown = self.slowdown(candidate.name)
        cost = cost * slowdown + OWN_TURN_COST_TOKENS * (slowdown - USUAL)
        return cost + self._distance_cost(candidate, prompt)

    def _distance_cost(self, candidate: Candidate, prompt: Prompt) -> float:
        is_uneven = self.speed.is_reported and bool(prompt.parts)
        if not candidate.same_region:
            return UNEVEN_REGION_COST_TOKENS if is_uneven else OTHER_REGION_COST_TOKENS
        if not candidate.same_data_centre:
            return UNEVEN_DATA_CENTRE_COST_TOKENS if is_uneven else OTHER_DATA_CENTRE_COST_TOKENS
        return 0.0

    def with_room(
        self, candidates: Sequence[Candidate], prompt: Prompt, *, under_way: bool
    ) -> list[Candidate]:
        """Return the candidates whose memory has room for a request, by what is known.

        :param under_way: whether the request's program is in progress; a new one leaves a reserve.
        """
        if not self.bounds_memory or not prompt.tokens:
            return list(candidates)
        reserve = NEW_PROGRAM_RESERVE
        roomy = [own for own in candidates if self.has_room(own, prompt, reserve=reserve)]
        if roomy or not under_way:
            return roomy
        return [own for own in candidates if self.has_room(own, prompt)]

    def has_room(self, candidate: Candidate, prompt: Prompt, *, reserve: float = 0.0) -> bool:
        """Return whether a request fits into a replica's memory, as far as both are known.

        :param reserve: share of the memory that must stay free, unless the replica holds nothing.
        """
        if not self.bounds_memory or not prompt.tokens or not candidate.cache_tokens:
            return True
        now = anyio.current_time()
        held = self.held.held_with(candidate.name, prompt, now=now)
        if held <= candidate.cache_tokens * (1.0 - reserve):
            return True
        return held <= candidate.cache_tokens and not self.held.held(candidate.name, now=now)

    def slowdown(self, name: str) -> float:
        """Return how long work is expected to take on a replica, relative to the usual time."""
        return self.speed.expected(name, now=anyio.current_time())

    def running(self, name: str) -> float:
        """Return the requests on a replica: this node's own and those of others, as last known."""
        now = anyio.current_time()
        own = float(self._own_requests.get(name, 0))
        reported = self._reported_loads.get(name)
        runs_turns = self._caches.has_parts(name)
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

    def counters(self) -> dict[str, int]:
        """Return what this node reports: its own requests, what they occupy, and heard speeds."""
        return {
            **self.running_by_replica(),
            **self.held.counters(),
            **self.speed.counters(now=anyio.current_time()),
        }

    def record_fleet_load(self, load: FleetLoad, prompt: Prompt) -> None:
        """Record the requests of all other gateways, and who has the parts of a prompt cached.

        :param prompt: the prompt whose parts ``load.holders`` belong to.
        """
        self._fleet_running = load.running
        self._fleet_as_of = anyio.current_time()
        self.held.record_counters(load.running, now=self._fleet_as_of)
        self.speed.record_counters(load.running, now=self._fleet_as_of)
        last = len(prompt.parts) - 1
        for position, ((part, tokens), holders) in enumerate(
            zip(prompt.parts, load.holders, strict=False)
        ):
            # The last part grows from turn to turn, so only its latest holder has all of it.
            for name in holders[:1] if position == last else holders:
                self._caches.remember(name, part, tokens)

    @property
    def fleet_age_s(self) -> float:
        """The age of what is known of the requests of other gateways."""
        return anyio.current_time() - self._fleet_as_of

    def own_requests(self, name: str) -> int:
        """Return the number of this node's own requests on a replica."""
        return self._own_requests.get(name, 0)

    def start_request(self, candidate: Candidate, prompt: Prompt) -> None:
        """Count a request sent to a replica, and assume that its prompt is cached there."""
        self.health.start_request(candidate.name)
        self._own_requests[candidate.name] = self._own_requests.get(candidate.name, 0) + 1
        if self.bounds_memory and candidate.cache_tokens:
            self.held.start_request(candidate.name, prompt)
        self._caches.fill(candidate.name, prompt, max_tokens=candidate.cache_tokens)

    def end_request(self, name: str, prompt: Prompt) -> None:
        """Count the end of a request, whose prompt is the one it was started with."""
        self.health.end_request(name)
        self.held.end_request(name, prompt)
        self._count_end(name)

    def record_load(self, name: str, total: int, slowdown: float | None = None) -> None:
        """Record the load that a replica reports.

        :param total: its requests, including this node's own.
        :param slowdown: how long work takes there now; ``None`` if it doesn't report it.
        """
        self.speed.record(name, slowdown, now=anyio.current_time())
        others = max(0, total - self._own_requests.get(name, 0))
        self._reported_loads[name] = _OtherRequests(float(others), anyio.current_time())

    def forget(self, names: Iterable[str]) -> None:
        """Drop the state of removed replicas."""
        for name in names:
            for component in (self.health, self.speed, self.held, self._caches):
                component.forget(name)
            for state in (self._own_requests, self._reported_loads):
                state.pop(name, None)

    def known_replicas(self) -> set[str]:
        """Return the replicas that have recorded state."""
        return {
            *self._own_requests,
            *self._reported_loads,
            *self._caches.known_replicas(),
            *self.health.known_replicas(),
            *self.speed.known_replicas(),
            *self.held.known_replicas(),
        }

    def _count_end(self, name: str) -> None:
        running = self._own_requests.get(name, 0) - 1
        if running > 0:
            self._own_requests[name] = running
        else:
            self._own_requests.pop(name, None)


def preferred_replica(candidates: Sequence[Candidate], affinity: str) -> str:
    """Return the replica that all gateways of a region prefer for an object; empty without one."""
    near = [candidate.name for candidate in candidates if candidate.same_region]
    if not affinity or not near:
        return ""
    return max(near, key=lambda name: blake2b(f"{affinity} {name}".encode()).digest())
