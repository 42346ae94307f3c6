"""Chooses the replica for a request by a cost of load, uncached prompt tokens and distance.

Costs are in prompt tokens that a replica could process in the same time, so that cache misses,
load and network distance can be compared.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple
from typing import final

import anyio

from bramleylead.gateway._replica_health import ReplicaHealth

RUNNING_COST_TOKENS = 2_400.0
"""Each running request slows down all others on the replica, and the new one."""
QUEUED_COST_TOKENS = 8_000.0
OTHER_DATA_CENTRE_COST_TOKENS = 400.0
OTHER_REGION_COST_TOKENS = 5_000.0
REPORTED_LOAD_DECAY_S = 1.0
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
    """A request's prompt: its parts in order, with their numbers of tokens."""

    parts: tuple[tuple[str, int], ...]


class _ReportedLoad:
    """The requests of other nodes on a replica, from its last load report."""

    def __init__(self, others: float, reported_at: float) -> None:
        self.others = others
        self.reported_at = reported_at


@final
class ReplicaSelector:
    """Chooses replicas by the load, caches and health that one node knows of."""

    def __init__(self) -> None:
        self.health = ReplicaHealth()
        self._own_requests: dict[str, int] = {}
        self._reported_loads: dict[str, _ReportedLoad] = {}
        self._caches: dict[str, OrderedDict[str, int]] = {}
        self._rotation = itertools.count()

    def choose(self, candidates: Sequence[Candidate], prompt: Prompt) -> Candidate | None:
        """Return the candidate of lowest cost; equal ones take turns."""
        if not candidates:
            return None
        start = next(self._rotation) % len(candidates)
        ordered = [*candidates[start:], *candidates[:start]]
        ejected = self.health.ejected([candidate.name for candidate in candidates])

        def cost(candidate: Candidate) -> float:
            penalty = EJECTED_COST_TOKENS if candidate.name in ejected else 0.0
            return penalty + self.cost(candidate, prompt)

        return min(ordered, key=cost)

    def cost(self, candidate: Candidate, prompt: Prompt) -> float:
        """Return the cost of running a request on a healthy replica, in tokens."""
        running = self.running(candidate.name)
        queued = max(0.0, running + 1 - candidate.slots) if candidate.slots else 0.0
        cost = RUNNING_COST_TOKENS * running + QUEUED_COST_TOKENS * queued
        cost += self._uncached_tokens(candidate.name, prompt)
        if not candidate.same_region:
            return cost + OTHER_REGION_COST_TOKENS
        if not candidate.same_data_centre:
            return cost + OTHER_DATA_CENTRE_COST_TOKENS
        return cost

    def running(self, name: str) -> float:
        """Return the requests on a replica: this node's own and the reported ones of others."""
        own = self._own_requests.get(name, 0)
        reported = self._reported_loads.get(name)
        if reported is None:
            return float(own)
        age_s = anyio.current_time() - reported.reported_at
        return own + reported.others * max(0.0, 1.0 - age_s / REPORTED_LOAD_DECAY_S)

    def own_requests(self, name: str) -> int:
        """Return the number of this node's own requests on a replica."""
        return self._own_requests.get(name, 0)

    def start_request(self, candidate: Candidate, prompt: Prompt) -> None:
        """Count a request sent to a replica, and assume that its prompt is cached there."""
        self.health.start_request(candidate.name)
        self._own_requests[candidate.name] = self._own_requests.get(candidate.name, 0) + 1
        cache = self._caches.setdefault(candidate.name, OrderedDict())
        for name, tokens in prompt.parts:
            cache[name] = tokens
            cache.move_to_end(name)
        cached_tokens = sum(cache.values())
        while cached_tokens > candidate.cache_tokens and len(cache) > 1:
            cached_tokens -= cache.popitem(last=False)[1]

    def end_request(self, name: str) -> None:
        """Count the end of a request."""
        self.health.end_request(name)
        self._own_requests[name] = max(0, self._own_requests.get(name, 0) - 1)

    def record_load(self, name: str, total: int) -> None:
        """Record the number of requests that a replica reports, including this node's own."""
        others = max(0, total - self._own_requests.get(name, 0))
        self._reported_loads[name] = _ReportedLoad(float(others), anyio.current_time())

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

    def _uncached_tokens(self, name: str, prompt: Prompt) -> int:
        """Return the tokens from the first uncached part on, which the replica has to process."""
        cache = self._caches.get(name, OrderedDict())
        uncached = False
        total = 0
        for part, tokens in prompt.parts:
            uncached = uncached or part not in cache
            total += tokens if uncached else 0
        return total
