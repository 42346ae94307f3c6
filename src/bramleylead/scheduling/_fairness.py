"""The order of queued calls: fair shares between branches, then short programs first.

Between branches: start-time fair queueing (Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996)
over served cost, as "Fairness in Serving Large Language Models" (Sheng et al., 2024) applies it to
tokens. A branch's tag is the served cost a unit of weight; the backlogged branch with the lowest
tag goes first. A branch that comes back after a pause starts at the current virtual time, so it
neither saves up credit nor pays for shares that were lent to it.

Within a branch: least attained service of the whole program first ("Autellix", Luo et al., 2025),
aged by waiting time, so that long programs move on too.
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


@dataclass(slots=True, eq=False)
class _Branch:
    """One branch: its virtual start tag and its queued calls as a heap."""

    name: str
    tag: float = 0.0
    weight: float = 1.0
    heap: list[tuple[float, int, Waiting]] = field(default_factory=list)


@final
class FairQueue:
    """Queued calls of one pool.

    ``_order`` holds an entry with the current tag of every backlogged branch, beside stale ones
    that are dropped when they come to the top.

    :param between_branches: whether branches share by served cost; else all are one branch.
    :param short_first: whether the program that was served least goes first; else the oldest call.
    :param aging_tokens_per_s: attained service that a second of waiting makes up for.
    """

    def __init__(
        self, *, between_branches: bool, short_first: bool, aging_tokens_per_s: float
    ) -> None:
        self._between_branches = between_branches
        self._short_first = short_first
        self._aging = aging_tokens_per_s
        self._branches: dict[str, _Branch] = {}
        self._order: list[tuple[float, str]] = []
        self._queued: dict[int, Waiting] = {}
        self._by_branch: dict[str, int] = {}
        self._virtual = 0.0

    def __len__(self) -> int:
        return len(self._queued)

    def calls(self) -> Iterator[Waiting]:
        """Iterate over the queued calls, oldest arrival first."""
        return iter(self._queued.values())

    def queued_of(self, branch: str) -> int:
        """Return the queued calls of one branch."""
        return self._by_branch.get(branch, 0)

    def ahead_of(self, branch: str) -> int:
        """Return the calls that start before one more of this branch, at equal cost a call.

        While the branch's own calls start, every other backlogged branch starts as many, by weight.
        """
        if not self._queued:
            return 0
        own = self.queued_of(branch) + 1
        weight = self._weight(branch)
        shares = (
            min(count, own * self._weight(name) / weight)
            for name, count in self._by_branch.items()
            if name != branch
        )
        return own - 1 + int(sum(shares))

    def largest(self) -> str:
        """Return the branch with the most queued calls a unit of weight."""
        return max(self._by_branch, key=self._backlog)

    def add(self, call: Waiting) -> None:
        """Queue a call."""
        branch = self._branch(call)
        branch.weight = call.request.weight if self._between_branches else 1.0
        self._drop_removed(branch)
        if not branch.heap:
            branch.tag = max(branch.tag, self._virtual)
            heapq.heappush(self._order, (branch.tag, branch.name))
        heapq.heappush(branch.heap, (self._key(call), call.serial, call))
        self._queued[call.serial] = call
        name = call.request.branch
        self._by_branch[name] = self._by_branch.get(name, 0) + 1

    def remove(self, call: Waiting) -> None:
        """Take a call out; its heap entry goes when it comes to the top."""
        if self._queued.pop(call.serial, None) is None:
            return
        name = call.request.branch
        self._by_branch[name] -= 1
        if self._by_branch[name] == 0:
            del self._by_branch[name]

    def candidates(self) -> list[Waiting]:
        """Return the next few calls in order; the first is the one that should start."""
        found: list[Waiting] = []
        taken: list[tuple[float, str]] = []
        seen: set[str] = set()
        while self._order and len(taken) < BRANCHES_LOOKED_AT:
            tag, name = heapq.heappop(self._order)
            branch = self._branches.get(name)
            if branch is None or name in seen:
                continue
            self._drop_removed(branch)
            if not branch.heap or tag != branch.tag:
                continue
            seen.add(name)
            taken.append((tag, name))
            found += [entry[2] for entry in branch.heap[:CALLS_LOOKED_AT]]
        for entry in taken:
            heapq.heappush(self._order, entry)
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
            if not branch.heap and branch.tag <= self._virtual:
                del self._branches[name]

    def _charge(self, branch: _Branch, cost: float) -> None:
        branch.tag += cost / branch.weight
        if branch.heap:
            heapq.heappush(self._order, (branch.tag, branch.name))

    def _drop_removed(self, branch: _Branch) -> None:
        while branch.heap and branch.heap[0][1] not in self._queued:
            heapq.heappop(branch.heap)

    def _key(self, call: Waiting) -> float:
        aged = self._aging * call.enqueued_at
        return call.request.attained + aged if self._short_first else call.enqueued_at

    def _backlog(self, branch: str) -> float:
        return self._by_branch[branch] / self._weight(branch)

    def _weight(self, branch: str) -> float:
        known = self._branches.get(branch)
        return known.weight if known is not None else 1.0
