"""The order of queued calls: fair shares between branches, then short programs first.

Between branches: start-time fair queueing (Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996)
over served cost, as "Fairness in Serving Large Language Models" (Sheng et al., 2024) applies it to
tokens. A branch's tag is the served cost a unit of weight; the backlogged branch with the lowest
tag goes first. A branch that comes back after a pause starts at the current virtual time, so it
neither saves up credit nor pays for shares that were lent to it.

Calls of programs under way stand before first calls of new programs, in two tiers: what has begun
is finished first, and a new program that has to wait never blocks a call that could start.

Within a branch: least attained service of the whole program first ("Autellix", Luo et al., 2025),
aged by waiting time, so that long programs move on too; or plain order of arrival.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from typing import final

from bramleylead.scheduling._view import Waiting

BRANCHES_LOOKED_AT = 4
CALLS_LOOKED_AT = 3
"""Calls of one branch that are weighed when its first one waits for an endpoint."""
KEPT_IDLE_BRANCHES = 1_024
UNDER_WAY = 0
NEW = 1
TIERS = (UNDER_WAY, NEW)


def tier_of(call: Waiting) -> int:
    """Return the tier of a call: whether its program was served before."""
    return UNDER_WAY if call.request.attained > 0 else NEW


_Heap = list[tuple[float, int, Waiting]]


def _empty_heaps() -> tuple[_Heap, ...]:
    return tuple([] for _ in TIERS)


@dataclass(slots=True, eq=False)
class _Branch:
    """One branch: its virtual start tag and its queued calls, a heap a tier."""

    name: str
    tag: float = 0.0
    weight: float = 1.0
    heaps: tuple[_Heap, ...] = field(default_factory=_empty_heaps)


@final
class FairQueue:
    """Queued calls of one pool.

    ``_order`` holds, a tier, an entry with the current tag of every backlogged branch, beside stale
    ones that are dropped when they come to the top.

    :param between_branches: whether branches share by served cost; else all are one branch.
    :param order: within a branch: ``attained`` or ``arrival``.
    :param aging_tokens_per_s: attained service that a second of waiting makes up for.
    """

    def __init__(self, *, between_branches: bool, order: str, aging_tokens_per_s: float) -> None:
        self._between_branches = between_branches
        self._within = order
        self._aging = aging_tokens_per_s
        self._branches: dict[str, _Branch] = {}
        self._order: tuple[list[tuple[float, str]], ...] = tuple([] for _ in TIERS)
        self._queued: dict[int, Waiting] = {}
        self._by_branch: tuple[dict[str, int], ...] = tuple({} for _ in TIERS)
        self._tokens = [0 for _ in TIERS]
        self._virtual = 0.0

    def __len__(self) -> int:
        return len(self._queued)

    def queued(self, tier: int) -> int:
        """Return the queued calls of one tier."""
        return sum(self._by_branch[tier].values())

    def queued_new(self, call: Waiting) -> int:
        """Return the queued first calls of new programs of the call's branch."""
        return self._by_branch[NEW].get(call.request.branch, 0)

    def queued_tokens(self, tier: int) -> int:
        """Return the prompt tokens of the queued calls of one tier."""
        return self._tokens[tier]

    def calls(self) -> Iterator[Waiting]:
        """Iterate over the queued calls, oldest arrival first."""
        return iter(self._queued.values())

    def ahead_of(self, call: Waiting) -> int:
        """Return the calls of its tier that start before one more of this branch.

        While the branch's own calls start, every other backlogged branch starts as many, by weight.
        """
        counts = self._by_branch[tier_of(call)]
        if not self._between_branches:
            return sum(counts.values())
        branch = call.request.branch
        own = counts.get(branch, 0) + 1
        weight = self._weight(branch)
        shares = (
            min(count, own * self._weight(name) / weight)
            for name, count in counts.items()
            if name != branch
        )
        return own - 1 + int(sum(shares))

    def largest(self) -> str:
        """Return the branch with the most queued calls a unit of weight."""
        branches = {name for counts in self._by_branch for name in counts}
        return max(sorted(branches), key=self._backlog)

    def add(self, call: Waiting) -> None:
        """Queue a call."""
        branch = self._branch(call)
        branch.weight = call.request.weight if self._between_branches else 1.0
        tier = tier_of(call)
        heap = branch.heaps[tier]
        self._drop_removed(heap)
        if not any(branch.heaps):
            branch.tag = max(branch.tag, self._virtual)
        if not heap:
            heapq.heappush(self._order[tier], (branch.tag, branch.name))
        heapq.heappush(heap, (self._key(call), call.serial, call))
        self._queued[call.serial] = call
        self._tokens[tier] += call.request.prompt_tokens
        counts = self._by_branch[tier]
        name = call.request.branch
        counts[name] = counts.get(name, 0) + 1

    def remove(self, call: Waiting) -> None:
        """Take a call out; its heap entry goes when it comes to the top."""
        if self._queued.pop(call.serial, None) is None:
            return
        tier = tier_of(call)
        self._tokens[tier] -= call.request.prompt_tokens
        counts = self._by_branch[tier]
        name = call.request.branch
        counts[name] -= 1
        if counts[name] == 0:
            del counts[name]

    def candidates(self, tier: int) -> list[Waiting]:
        """Return the next few calls of a tier in order; the first is the one that should start."""
        order = self._order[tier]
        found: list[Waiting] = []
        taken: list[tuple[float, str]] = []
        seen: set[str] = set()
        while order and len(taken) < BRANCHES_LOOKED_AT:
            tag, name = heapq.heappop(order)
            branch = self._branches.get(name)
            if branch is None or name in seen:
                continue
            heap = branch.heaps[tier]
            self._drop_removed(heap)
            if not heap or tag != branch.tag:
                continue
            seen.add(name)
            taken.append((tag, name))
            found += [entry[2] for entry in heap[:CALLS_LOOKED_AT]]
        for entry in taken:
            heapq.heappush(order, entry)
        return [call for call in found if call.serial in self._queued]

    def start(self, call: Waiting, cost: float) -> None:
        """Take a call out to run it, and charge its expected cost to its branch."""
        branch = self._branch(call)
        self.remove(call)
        self._virtual = max(self._virtual, branch.tag)
        call.charged = cost
        self._charge(branch, cost)

    def settle(self, call: Waiting, cost: float) -> None:
        """Correct the charge of a call to what it really cost."""
        self._charge(self._branch(call), cost - call.charged)
        call.charged = cost

    def tags(self) -> dict[str, float]:
        """Return each branch's lead over the virtual time, for the dump."""
        return {name: branch.tag - self._virtual for name, branch in self._branches.items()}

    def _branch(self, call: Waiting) -> _Branch:
        name = call.request.branch if self._between_branches else ""
        branch = self._branches.get(name)
        if branch is None:
            branch = _Branch(name)
            self._branches[name] = branch
            self._forget_idle()
        return branch

    def _forget_idle(self) -> None:
        if len(self._branches) <= KEPT_IDLE_BRANCHES:
            return
        for name in list(self._branches):
            branch = self._branches[name]
            if not any(branch.heaps) and branch.tag <= self._virtual:
                del self._branches[name]

    def _charge(self, branch: _Branch, cost: float) -> None:
        branch.tag += cost / branch.weight
        for tier in TIERS:
            if branch.heaps[tier]:
                heapq.heappush(self._order[tier], (branch.tag, branch.name))

    def _drop_removed(self, heap: _Heap) -> None:
        while heap and heap[0][1] not in self._queued:
            heapq.heappop(heap)

    def _key(self, call: Waiting) -> float:
        aged = self._aging * call.enqueued_at
        if self._within == "attained":
            return call.request.attained + aged
        return call.enqueued_at

    def _backlog(self, branch: str) -> float:
        queued = sum(counts.get(branch, 0) for counts in self._by_branch)
        return queued / self._weight(branch)

    def _weight(self, branch: str) -> float:
        known = self._branches.get(branch)
        return known.weight if known is not None else 1.0
