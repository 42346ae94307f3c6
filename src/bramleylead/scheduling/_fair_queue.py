"""The queue of a pool: fair shares between branches, and short programs first within a branch.

Between branches: start-time fair queueing (Goyal, Vin and Cheng, "Start-time Fair Queueing", 1996)
over served cost, as "Fairness in Serving Large Language Models" (Sheng et al., 2024) applies it to
tokens. A branch's tag is its served cost per unit of weight; the backlogged branch with the lowest
tag goes first. A branch that becomes active again starts at the current virtual time. It neither
accumulates credit while idle nor pays back capacity that it used while others were idle.

There are two tiers: calls of started programs go before first calls of new programs. Started
programs are finished first, and a waiting new program never blocks a call that could start.

Within a branch: least attained service of the whole program first ("Autellix", Luo et al., 2025),
aged by waiting time to prevent starvation of long programs; or order of arrival.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from typing import final

from bramleylead.scheduling._endpoint_view import ScheduledCall

MAX_CANDIDATE_BRANCHES = 4
MAX_CANDIDATES_PER_BRANCH = 3
"""Calls of one branch that are considered when its first one waits for an endpoint."""
MAX_TRACKED_BRANCHES = 1_024
STARTED_PROGRAM = 0
NEW_PROGRAM = 1
TIERS = (STARTED_PROGRAM, NEW_PROGRAM)


def tier_of(call: ScheduledCall) -> int:
    """Return the tier of a call, which depends on whether its program was served before."""
    return STARTED_PROGRAM if call.request.attained > 0 else NEW_PROGRAM


_Heap = list[tuple[float, int, ScheduledCall]]


def _empty_heaps() -> tuple[_Heap, ...]:
    return tuple([] for _ in TIERS)


@dataclass(slots=True, eq=False)
class _Branch:
    """A branch with its virtual start tag and a heap of queued calls for each tier."""

    name: str
    tag: float = 0.0
    weight: float = 1.0
    heaps: tuple[_Heap, ...] = field(default_factory=_empty_heaps)


@final
class FairQueue:
    """The queued calls of one pool.

    For each tier, ``_branch_order`` is a heap with the current tag of every backlogged branch. It
    also contains outdated entries, which are dropped when they reach the top.

    :param between_branches: whether branches share by served cost; otherwise all calls are in one
        branch.
    :param order: order within a branch, ``attained`` or ``arrival``.
    :param aging_tokens_per_s: attained service offset by a second of waiting.
    """

    def __init__(self, *, between_branches: bool, order: str, aging_tokens_per_s: float) -> None:
        self._between_branches = between_branches
        self._order_in_branch = order
        self._aging_tokens_per_s = aging_tokens_per_s
        self._branches: dict[str, _Branch] = {}
        self._branch_order: tuple[list[tuple[float, str]], ...] = tuple([] for _ in TIERS)
        self._queued: dict[int, ScheduledCall] = {}
        self._counts_by_branch: tuple[dict[str, int], ...] = tuple({} for _ in TIERS)
        self._queued_tokens = [0 for _ in TIERS]
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return len(self._queued)

    def queued(self, tier: int) -> int:
        """Return the number of queued calls of one tier."""
        return sum(self._counts_by_branch[tier].values())

    def queued_new_programs(self, call: ScheduledCall) -> int:
        """Return the number of queued new programs of the call's branch."""
        return self._counts_by_branch[NEW_PROGRAM].get(call.request.branch, 0)

    def queued_tokens(self, tier: int) -> int:
        """Return the total prompt tokens of the queued calls of one tier."""
        return self._queued_tokens[tier]

    def calls(self) -> Iterator[ScheduledCall]:
        """Iterate over the queued calls, oldest arrival first."""
        return iter(self._queued.values())

    def calls_ahead_of(self, call: ScheduledCall) -> int:
        """Return the number of queued calls of its tier that would start before this call.

        While the calls of this branch start, each other backlogged branch starts a number of calls
        in proportion to its weight.
        """
        counts = self._counts_by_branch[tier_of(call)]
        if not self._between_branches:
            return sum(counts.values())
        branch = call.request.branch
        own_calls = counts.get(branch, 0) + 1
        weight = self._weight(branch)
        other_calls = (
            min(count, own_calls * self._weight(name) / weight)
            for name, count in counts.items()
            if name != branch
        )
        return own_calls - 1 + int(sum(other_calls))

    def largest_branch(self) -> str:
        """Return the branch with the most queued calls per unit of weight."""
        branches = {name for counts in self._counts_by_branch for name in counts}
        return max(sorted(branches), key=self._weighted_backlog)

    def add(self, call: ScheduledCall) -> None:
        """Queue a call."""
        branch = self._branch_of(call)
        branch.weight = call.request.weight if self._between_branches else 1.0
        tier = tier_of(call)
        heap = branch.heaps[tier]
        self._drop_removed_calls(heap)
        if not any(branch.heaps):
            branch.tag = max(branch.tag, self._virtual_time)
        if not heap:
            heapq.heappush(self._branch_order[tier], (branch.tag, branch.name))
        heapq.heappush(heap, (self._sort_key(call), call.serial, call))
        self._queued[call.serial] = call
        self._queued_tokens[tier] += call.request.prompt_tokens
        counts = self._counts_by_branch[tier]
        name = call.request.branch
        counts[name] = counts.get(name, 0) + 1

    def remove(self, call: ScheduledCall) -> None:
        """Remove a call. Its heap entry is dropped when it reaches the top."""
        if self._queued.pop(call.serial, None) is None:
            return
        tier = tier_of(call)
        self._queued_tokens[tier] -= call.request.prompt_tokens
        counts = self._counts_by_branch[tier]
        name = call.request.branch
        counts[name] -= 1
        if counts[name] == 0:
            del counts[name]

    def candidates(self, tier: int) -> list[ScheduledCall]:
        """Return the next few calls of a tier.

        The first one should start; the order of the others within a branch is approximate.
        """
        order = self._branch_order[tier]
        found: list[ScheduledCall] = []
        valid_entries: list[tuple[float, str]] = []
        visited_names: set[str] = set()
        while order and len(valid_entries) < MAX_CANDIDATE_BRANCHES:
            tag, name = heapq.heappop(order)
            branch = self._branches.get(name)
            if branch is None or name in visited_names:
                continue
            heap = branch.heaps[tier]
            self._drop_removed_calls(heap)
            if not heap or tag != branch.tag:
                continue
            visited_names.add(name)
            valid_entries.append((tag, name))
            found += [entry[2] for entry in heap[:MAX_CANDIDATES_PER_BRANCH]]
        for entry in valid_entries:
            heapq.heappush(order, entry)
        return [call for call in found if call.serial in self._queued]

    def start(self, call: ScheduledCall, cost: float) -> None:
        """Remove a call that starts, and charge its expected cost to its branch."""
        branch = self._branch_of(call)
        self.remove(call)
        self._virtual_time = max(self._virtual_time, branch.tag)
        call.charged_cost = cost
        self._charge(branch, cost)

    def settle(self, call: ScheduledCall, cost: float) -> None:
        """Replace the expected cost charged for a call by its actual cost."""
        self._charge(self._branch_of(call), cost - call.charged_cost)
        call.charged_cost = cost

    def branch_leads(self) -> dict[str, float]:
        """Return each branch's lead over the virtual time, for the dump."""
        return {name: branch.tag - self._virtual_time for name, branch in self._branches.items()}

    def _branch_of(self, call: ScheduledCall) -> _Branch:
        name = call.request.branch if self._between_branches else ""
        branch = self._branches.get(name)
        if branch is None:
            branch = _Branch(name)
            self._branches[name] = branch
            self._drop_idle_branches()
        return branch

    def _drop_idle_branches(self) -> None:
        if len(self._branches) <= MAX_TRACKED_BRANCHES:
            return
        for name in list(self._branches):
            branch = self._branches[name]
            if not any(branch.heaps) and branch.tag <= self._virtual_time:
                del self._branches[name]

    def _charge(self, branch: _Branch, cost: float) -> None:
        branch.tag += cost / branch.weight
        for tier in TIERS:
            if branch.heaps[tier]:
                heapq.heappush(self._branch_order[tier], (branch.tag, branch.name))

    def _drop_removed_calls(self, heap: _Heap) -> None:
        while heap and heap[0][1] not in self._queued:
            heapq.heappop(heap)

    def _sort_key(self, call: ScheduledCall) -> float:
        aged = self._aging_tokens_per_s * call.enqueued_at
        if self._order_in_branch == "attained":
            return call.request.attained + aged
        return call.enqueued_at

    def _weighted_backlog(self, branch: str) -> float:
        queued = sum(counts.get(branch, 0) for counts in self._counts_by_branch)
        return queued / self._weight(branch)

    def _weight(self, branch: str) -> float:
        entry = self._branches.get(branch)
        return entry.weight if entry is not None else 1.0
