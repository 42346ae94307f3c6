"""Budgets of programs: a turn's most is reserved before it is sent, and settled after it."""

from __future__ import annotations

import secrets
from typing import final

import anyio
import structlog
from anyio.abc import TaskGroup
from result import Err
from result import Ok
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.gateway._types import CallFacts
from bramleylead.ledger._client import LedgerClient
from bramleylead.ledger._records import Spending

ENTRY_BYTES = 4
SETTLE_PAUSES_S = (0.3, 0.6, 1.2, 2.4, 4.8)
"""Until a turn is settled its most counts as spent, so a failed try is repeated for a while."""

log = structlog.get_logger()


@final
class Budgets:
    """Reserves and settles what turns spend.

    :param tasks: runs what need not be waited for.
    """

    def __init__(self, ledger: LedgerClient, tasks: TaskGroup) -> None:
        self._ledger = ledger
        self._tasks = tasks

    async def reserve(self, facts: CallFacts) -> Result[str, Failure]:
        """Reserve a turn's most and return the entry to settle, empty without a budget.

        The failure is ``BUDGET_EXHAUSTED`` if the budget does not hold the turn's most.
        """
        if facts.budget_tokens is None:
            return Ok("")
        entry = f"{facts.request}.{secrets.token_hex(ENTRY_BYTES)}"
        enough = False
        try:
            reserved = await self._ledger.reserve(
                Spending(facts.program, entry, facts.most_tokens, False)
            )
            if isinstance(reserved, Err):
                return reserved
            enough = self._is_enough(facts, entry, reserved.ok_value)
        finally:
            if not enough:
                # Members may hold the reservation: what is not sent must not count as spent.
                self.settle(facts, entry, 0)
        if enough:
            return Ok(entry)
        detail = (
            f"program {facts.program}: {facts.budget_tokens} tokens do not hold what is spent "
            f"and {facts.most_tokens} more"
        )
        return Err(Failure(ErrorKind.BUDGET_EXHAUSTED, detail))

    def _is_enough(self, facts: CallFacts, entry: str, known: dict[str, Spending]) -> bool:
        others = sum(spending.tokens for name, spending in known.items() if name != entry)
        assert facts.budget_tokens is not None
        enough = others + facts.most_tokens <= facts.budget_tokens
        log.info(
            "budget_reserved" if enough else "budget_spent",
            request=facts.request,
            program=facts.program,
            budget=facts.budget_tokens,
            spent=others,
            most=facts.most_tokens,
            turns=len(known),
            unsettled=sum(not spending.settled for spending in known.values()),
        )
        return enough

    def settle(self, facts: CallFacts, entry: str, tokens: int) -> None:
        """Say what a turn has spent, without waiting; until then its most counts."""
        if entry:
            self._tasks.start_soon(self._settle, facts, entry, tokens)

    async def _settle(self, facts: CallFacts, entry: str, tokens: int) -> None:
        spending = Spending(facts.program, entry, tokens, True)
        for pause_s in SETTLE_PAUSES_S:
            settled = await self._ledger.settle(spending)
            if isinstance(settled, Ok):
                return
            await anyio.sleep(pause_s)
        log.warning(
            "budget_unsettled",
            request=facts.request,
            program=facts.program,
            tokens=tokens,
            reason=settled.err_value.detail,
        )
