"""Judges a trial by the ledgers of the stand-ins and of the callers, not by what the nodes say."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from collections.abc import Sequence
from typing import final

import anyio

from bramleylead.promises import Promise
from bramleylead.promises import Violation
from bramleylead.trials._fleet import Fleet
from bramleylead.trials._observations import Observed
from bramleylead.trials._target import TrialFleet

LEAVING_BOUND_S = 3.0
TICKET_BOUND_S = 3.0
SETTLE_S = 150.0
WATCH_INTERVAL_S = 0.5


@final
class TicketWatch:
    """Sees that the number in force never goes back on a node while it runs."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._highest: dict[int, int] = {}

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            await anyio.sleep(WATCH_INTERVAL_S)
            for name, host in self._fleet.hosts.items():
                if host.node is None:
                    continue
                number = host.node.config.number
                before = self._highest.get(id(host.node), 0)
                if number < before:
                    detail = f"{name} went back from ticket {before} to {number}"
                    self._fleet.violations.append(Violation(Promise.TICKETS, detail))
                self._highest[id(host.node)] = max(before, number)


async def judge(fleet: Fleet, seen: Sequence[Observed]) -> None:
    """Add to the fleet's violations what the ledgers show once the faults are over."""
    await anyio.sleep(SETTLE_S)
    fleet.collect_violations()
    judge_ledgers(fleet, seen)
    _judge_leaving(fleet)
    judge_memory(fleet, cut_off=())
    _judge_tickets(fleet)


def judge_ledgers(fleet: TrialFleet, seen: Sequence[Observed]) -> None:
    """Add what the ledgers of the stand-ins show, whenever it is asked for."""
    _judge_effects(fleet)
    _judge_order(fleet)
    _judge_budgets(fleet, seen)


def _judge_effects(fleet: TrialFleet) -> None:
    ledger = fleet.endpoints.service_ledger
    for call, count in sorted(ledger.effects.items()):
        if count > 1 and call not in ledger.harmless:
            _violate(fleet, Promise.AT_MOST_ONCE, f"{call} took effect {count} times")


def _judge_order(fleet: TrialFleet) -> None:
    ledger = fleet.endpoints.engine_ledger
    if ledger.out_of_order:
        detail = f"{ledger.out_of_order} model calls came after a later call of their program"
        _violate(fleet, Promise.CALL_ORDER, detail)
    if ledger.diverged:
        _violate(fleet, Promise.HISTORY, f"{ledger.diverged} prompts left their conversation")


def _judge_budgets(fleet: TrialFleet, seen: Sequence[Observed]) -> None:
    """Add up the prices of the tools that took effect: a lower bound of what was spent."""
    ledger = fleet.endpoints.service_ledger
    ticket = fleet.deployment.ticket
    branch_of = {item.plan.program: item.plan.branch for item in seen}
    spent: Counter[str] = Counter()
    prices = {
        name: tool.price
        for kind in ticket.program_kinds.values()
        for name, tool in kind.tools.items()
    }
    for call, count in ledger.effects.items():
        branch = branch_of.get(call.partition("/")[0])
        if branch is not None:
            counted = 1 if call in ledger.harmless else count
            spent[ticket.branches[branch].budget] += counted * prices[ledger.tools[call]]
    for budget, units in sorted(spent.items()):
        limit = ticket.budgets[budget].limit
        if units > limit:
            _violate(fleet, Promise.BUDGET, f"{budget}: {units} units spent of {limit}")


def _judge_leaving(fleet: Fleet) -> None:
    endpoints = fleet.endpoints
    latest = max(
        endpoints.engine_ledger.latest_after_leaving_s,
        endpoints.service_ledger.latest_after_leaving_s,
    )
    if latest > LEAVING_BOUND_S:
        detail = f"an endpoint got new work {latest:.1f} s after it began to leave"
        _violate(fleet, Promise.LEAVING_ENDPOINT, detail)


def judge_memory(fleet: TrialFleet, *, cut_off: Collection[str]) -> None:
    """Add the caches of ended programs.

    :param cut_off: the programs that the trial left running; all others have ended by now.
    """
    for address, engine in sorted(fleet.endpoints.engines.items()):
        held = sorted({event.program for event in engine.cache.contents().events} - set(cut_off))
        if held:
            names = ", ".join(held[:3])
            detail = f"{address} holds caches of {len(held)} ended programs: {names}"
            _violate(fleet, Promise.ENGINE_MEMORY, detail)


def _judge_tickets(fleet: Fleet) -> None:
    numbers = {
        name: host.node.config.number
        for name, host in sorted(fleet.hosts.items())
        if host.node is not None
    }
    if len(set(numbers.values())) > 1:
        _violate(fleet, Promise.TICKETS, f"numbers in force differ long after: {numbers}")


def _violate(fleet: TrialFleet, promise: Promise, detail: str) -> None:
    fleet.violations.append(Violation(promise, detail))
