"""Chooses the replica for a request: load, cached prompt parts, and distance as one cost.

Costs are in tokens of prompt that a replica could read in the same time, so that a part that has
to be read again, a busy replica and a long way can be weighed against each other.
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
"""One more running request slows every other one on the replica, and itself."""
QUEUED_COST_TOKENS = 8_000.0
OTHER_CENTRE_COST_TOKENS = 400.0
OTHER_REGION_COST_TOKENS = 5_000.0
LOAD_FADES_S = 1.0
ASIDE_COST_TOKENS = 60_000.0
"""A replica that is put aside gets work only when all others have long queues."""


class Candidate(NamedTuple):
    """A replica that may be chosen, and its distance."""

    name: str
    slots: int
    cache_tokens: int
    same_centre: bool
    same_region: bool


class Need(NamedTuple):
    """What a request asks of a replica: its prompt's parts in order, with their tokens."""

    parts: tuple[tuple[str, int], ...]


class _Reported:
    """The requests of others on a replica, as its last answer told."""

    def __init__(self, others: float, at: float) -> None:
        self.others = others
        self.at = at


@final
class ReplicaLoads:
    """What one node knows of the load and caches of replicas."""

    def __init__(self) -> None:
        self.health = ReplicaHealth()
        self._own: dict[str, int] = {}
        self._reported: dict[str, _Reported] = {}
        self._caches: dict[str, OrderedDict[str, int]] = {}
        self._turns = itertools.count()

    def choose(self, candidates: Sequence[Candidate], need: Need) -> Candidate | None:
        """Return the candidate of least cost; among equals each in turn."""
        if not candidates:
            return None
        start = next(self._turns) % len(candidates)
        ordered = [*candidates[start:], *candidates[:start]]
        aside = self.health.put_aside([candidate.name for candidate in candidates])

        def cost(candidate: Candidate) -> float:
            extra = ASIDE_COST_TOKENS if candidate.name in aside else 0.0
            return extra + self.cost(candidate, need)

        return min(ordered, key=cost)

    def cost(self, candidate: Candidate, need: Need) -> float:
        """Return the cost of running a request at a sound replica, in tokens."""
        running = self.running(candidate.name)
        queued = max(0.0, running + 1 - candidate.slots) if candidate.slots else 0.0
        cost = RUNNING_COST_TOKENS * running + QUEUED_COST_TOKENS * queued
        cost += self._missing_tokens(candidate.name, need)
        if not candidate.same_region:
            return cost + OTHER_REGION_COST_TOKENS
        if not candidate.same_centre:
            return cost + OTHER_CENTRE_COST_TOKENS
        return cost

    def running(self, name: str) -> float:
        """Return the requests on a replica: this node's own, and those of others as reported."""
        own = self._own.get(name, 0)
        reported = self._reported.get(name)
        if reported is None:
            return float(own)
        age_s = anyio.current_time() - reported.at
        return own + reported.others * max(0.0, 1.0 - age_s / LOAD_FADES_S)

    def own(self, name: str) -> int:
        """Return this node's own requests on a replica."""
        return self._own.get(name, 0)

    def begin(self, candidate: Candidate, need: Need) -> None:
        """Count a request that is sent, and take its prompt for cached there."""
        self.health.began(candidate.name)
        self._own[candidate.name] = self._own.get(candidate.name, 0) + 1
        cache = self._caches.setdefault(candidate.name, OrderedDict())
        for name, tokens in need.parts:
            cache[name] = tokens
            cache.move_to_end(name)
        held = sum(cache.values())
        while held > candidate.cache_tokens and len(cache) > 1:
            held -= cache.popitem(last=False)[1]

    def end(self, name: str) -> None:
        """Count the end of a request."""
        self.health.ended(name)
        self._own[name] = max(0, self._own.get(name, 0) - 1)

    def report(self, name: str, total: int) -> None:
        """Take in how many requests a replica says it has, this node's own among them."""
        others = max(0, total - self._own.get(name, 0))
        self._reported[name] = _Reported(float(others), anyio.current_time())

    def forget(self, names: Iterable[str]) -> None:
        """Drop what is known of replicas that are gone."""
        for name in names:
            self.health.forget(name)
            for known in (self._own, self._reported, self._caches):
                known.pop(name, None)

    def known(self) -> set[str]:
        """Return the replicas of which something is known."""
        return {*self._own, *self._reported, *self._caches, *self.health.known()}

    def _missing_tokens(self, name: str, need: Need) -> int:
        """Return the tokens after the first part that is not cached: those are read again."""
        cache = self._caches.get(name, OrderedDict())
        missing = False
        total = 0
        for part, tokens in need.parts:
            missing = missing or part not in cache
            total += tokens if missing else 0
        return total
