"""Program budgets: a turn's maximum is reserved before it is sent, its use settled afterwards."""

from __future__ import annotations

import secrets
from typing import NamedTuple
from typing import final

import anyio
import structlog
from anyio.abc import TaskGroup
from result import Err
from result import Ok
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.ledger._client import LedgerClient
from bramleylead.ledger._records import Spending
from bramleylead.placement._admission import Progress
from bramleylead.placement._crash_table import CrashEvidence
from bramleylead.placement._fleet_table import NO_FLEET_LOAD
from bramleylead.placement._fleet_table import FleetLoad
from bramleylead.platform._types import CallMetadata

RESERVATION_ID_BYTES = 4
SETTLE_RETRY_DELAYS_S = (0.3, 0.6, 1.2, 2.4, 4.8)
"""Until a turn is settled, its maximum counts as spent, so failed settlements are retried."""

log = structlog.get_logger()


class BudgetReservation(NamedTuple):
    """A turn's reservation, and what the ledger knows of its program and of the fleet.

    :param reservation_id: the reservation to settle; empty without a budget.
    :param progress: ``None`` if the program has no budget, so that nothing is known of it.
    :param crashes: the crashes at which this turn was running.
    """

    reservation_id: str
    progress: Progress | None
    fleet: FleetLoad
    crashes: tuple[CrashEvidence, ...] = ()


NO_RESERVATION = BudgetReservation("", None, NO_FLEET_LOAD)


@final
class Budgets:
    """Reserves and settles the tokens of turns.

    :param tasks: runs settlements in the background.
    """

    def __init__(self, ledger: LedgerClient, tasks: TaskGroup) -> None:
        self._ledger = ledger
        self._tasks = tasks

    async def reserve(
        self, metadata: CallMetadata, crashes: tuple[CrashEvidence, ...] = ()
    ) -> Result[BudgetReservation, Failure]:
        """Reserve a turn's maximum.

        :param crashes: the crashes at which this turn was running, as far as they are known here.

        Fails with ``BUDGET_EXHAUSTED`` if the turn's maximum exceeds the rest of the budget.
        """
        if metadata.budget_tokens is None:
            return Ok(NO_RESERVATION)
        reservation_id = f"{metadata.request_id}.{secrets.token_hex(RESERVATION_ID_BYTES)}"
        fits = False
        try:
            reserved = await self._ledger.reserve(
                Spending(metadata.program, reservation_id, metadata.max_output_tokens, False),
                prompt_parts=tuple(part.name for part in metadata.prompt),
                crashes=crashes,
            )
            if isinstance(reserved, Err):
                return reserved
            spendings = reserved.ok_value.spendings
            fits = self._fits_budget(metadata, reservation_id, spendings)
        finally:
            if not fits:
                # Ledger members may hold the reservation; a turn that is not sent must not count.
                self.settle(metadata, reservation_id, 0)
        if fits:
            progress = _progress_of(spendings, reservation_id)
            found = reserved.ok_value
            return Ok(BudgetReservation(reservation_id, progress, found.fleet, found.crashes))
        detail = (
            f"program {metadata.program}: {metadata.budget_tokens} tokens do not cover the tokens "
            f"already spent and {metadata.max_output_tokens} more"
        )
        return Err(Failure(ErrorKind.BUDGET_EXHAUSTED, detail))

    def _fits_budget(
        self, metadata: CallMetadata, reservation_id: str, spendings: dict[str, Spending]
    ) -> bool:
        spent_by_others = sum(
            spending.tokens
            for spending_id, spending in spendings.items()
            if spending_id != reservation_id
        )
        assert metadata.budget_tokens is not None
        fits = spent_by_others + metadata.max_output_tokens <= metadata.budget_tokens
        log.info(
            "budget_reserved" if fits else "budget_spent",
            request=metadata.request_id,
            program=metadata.program,
            budget=metadata.budget_tokens,
            spent=spent_by_others,
            most=metadata.max_output_tokens,
            turns=len(spendings),
            unsettled=sum(not spending.settled for spending in spendings.values()),
        )
        return fits

    def settle(self, metadata: CallMetadata, reservation_id: str, tokens: int) -> None:
        """Settle in the background what a turn has spent; until then its maximum counts."""
        if reservation_id:
            self._tasks.start_soon(self._settle, metadata, reservation_id, tokens)

    async def _settle(self, metadata: CallMetadata, reservation_id: str, tokens: int) -> None:
        spending = Spending(metadata.program, reservation_id, tokens, True)
        for delay_s in SETTLE_RETRY_DELAYS_S:
            settled = await self._ledger.settle(spending)
            if isinstance(settled, Ok):
                return
            await anyio.sleep(delay_s)
        log.warning(
            "budget_unsettled",
            request=metadata.request_id,
            program=metadata.program,
            tokens=tokens,
            reason=settled.err_value.detail,
        )


def _progress_of(spendings: dict[str, Spending], reservation_id: str) -> Progress:
    """Return how far a program has come before the turn of a reservation."""
    others = [spending for entry, spending in spendings.items() if entry != reservation_id]
    refusals = sum(spending.settled and not spending.tokens for spending in others)
    return Progress(turns=len(others) - refusals, refusals=refusals)
