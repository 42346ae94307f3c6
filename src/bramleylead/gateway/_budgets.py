"""Program budgets: a turn's maximum is reserved before it is sent, its use settled afterwards."""

from __future__ import annotations

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
from bramleylead.ledger._client import Reservation
from bramleylead.ledger._entries import new_entry
from bramleylead.ledger._entries import request_of
from bramleylead.ledger._records import Spending
from bramleylead.placement._admission import Progress
from bramleylead.placement._crash_table import CrashEvidence
from bramleylead.placement._fleet_table import NO_FLEET_LOAD
from bramleylead.placement._fleet_table import FleetLoad
from bramleylead.platform._types import NO_SOFTWARE
from bramleylead.platform._types import CallMetadata
from bramleylead.platform._types import Software
from bramleylead.supervision import contain

SETTLE_RETRY_DELAYS_S = (0.3, 0.6, 1.2, 2.4, 4.8)
"""Until a turn is settled, its maximum counts as spent, so failed settlements are retried."""

log = structlog.get_logger()


class BudgetReservation(NamedTuple):
    """A turn's reservation, and what the ledger knows of its program and of the fleet.

    :param spending: the record to settle; ``None`` if nothing was reserved.
    :param progress: ``None`` if the program has no budget, so that nothing is known of it.
    :param crashes: the crashes at which this turn was running.
    :param begun_by: the software that began the stream to be resumed, if it is known.
    """

    spending: Spending | None
    progress: Progress | None
    fleet: FleetLoad
    crashes: tuple[CrashEvidence, ...] = ()
    begun_by: Software | None = None

    @property
    def entry(self) -> str:
        """The ID of the record; empty if nothing was reserved."""
        return "" if self.spending is None else self.spending.entry


NO_RESERVATION = BudgetReservation(None, None, NO_FLEET_LOAD)


@final
class Budgets:
    """Reserves and settles the tokens of turns.

    :param tasks: runs settlements in the background.
    """

    def __init__(self, ledger: LedgerClient, tasks: TaskGroup) -> None:
        self._ledger = ledger
        self._tasks = tasks

    async def reserve(
        self,
        metadata: CallMetadata,
        *,
        crashes: tuple[CrashEvidence, ...] = (),
        resumable: bool = False,
        software: Software = NO_SOFTWARE,
        replaces: str = "",
        customer: str = "",
    ) -> Result[BudgetReservation, Failure]:
        """Reserve a turn's maximum.

        :param crashes: the crashes at which this turn was running, as far as they are known here.
        :param resumable: whether callers may resume the stream, so that it is recorded even
            without a budget.
        :param software: the software that the turn is going to be offered to.
        :param replaces: the entry of a reservation of the same turn, which doesn't count.
        :param customer: whose turn it is; empty without customers.

        Fails with ``BUDGET_EXHAUSTED`` if the turn's maximum exceeds the rest of the budget.
        """
        if metadata.budget_tokens is None:
            if not resumable:
                return Ok(NO_RESERVATION)
            return Ok(await self._record_stream(metadata, crashes, software, customer))
        entry = new_entry(metadata.request_id, customer)
        most = metadata.max_output_tokens
        spending = Spending(metadata.program, entry, most, settled=False, software=software)
        fits = False
        try:
            reserved = await self._write(metadata, spending, crashes)
            if isinstance(reserved, Err):
                return reserved
            spendings = reserved.ok_value.spendings
            fits = self._fits_budget(metadata, {spending.entry, replaces}, spendings)
        finally:
            if not fits:
                # Ledger members may hold the reservation; a turn that is not sent must not count.
                self._settle_soon(metadata, spending, 0)
        if fits:
            found = reserved.ok_value
            progress = _progress_of(spendings, spending.entry)
            begun_by = _software_of(spendings, metadata.resumed_request)
            return Ok(BudgetReservation(spending, progress, found.fleet, found.crashes, begun_by))
        detail = (
            f"program {metadata.program}: {metadata.budget_tokens} tokens do not cover the tokens "
            f"already spent and {metadata.max_output_tokens} more"
        )
        return Err(Failure(ErrorKind.BUDGET_EXHAUSTED, detail))

    async def _record_stream(
        self,
        metadata: CallMetadata,
        crashes: tuple[CrashEvidence, ...],
        software: Software,
        customer: str,
    ) -> BudgetReservation:
        """Record a stream without a budget; it is served even if that fails."""
        key = f"stream/{metadata.program or metadata.resumed_request or metadata.request_id}"
        entry = new_entry(metadata.request_id, customer)
        spending = Spending(key, entry, 0, settled=False, software=software)
        written = await self._write(metadata, spending, crashes)
        if isinstance(written, Err):
            return NO_RESERVATION
        found = written.ok_value
        begun_by = _software_of(found.spendings, metadata.resumed_request)
        return BudgetReservation(spending, None, found.fleet, found.crashes, begun_by)

    async def _write(
        self, metadata: CallMetadata, spending: Spending, crashes: tuple[CrashEvidence, ...]
    ) -> Result[Reservation, Failure]:
        return await self._ledger.reserve(
            spending,
            prompt_parts=tuple(part.name for part in metadata.prompt),
            crashes=crashes,
        )

    def _fits_budget(
        self, metadata: CallMetadata, own_entries: set[str], spendings: dict[str, Spending]
    ) -> bool:
        spent_by_others = sum(
            spending.tokens for entry, spending in spendings.items() if entry not in own_entries
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

    def settle(self, metadata: CallMetadata, reservation: BudgetReservation, tokens: int) -> None:
        """Settle in the background what a turn has spent; until then its maximum counts."""
        if reservation.spending is not None:
            self._settle_soon(metadata, reservation.spending, tokens)

    def _settle_soon(self, metadata: CallMetadata, spending: Spending, tokens: int) -> None:
        settled = spending._replace(tokens=tokens, settled=True)
        self._tasks.start_soon(contain, "settle", self._settle, metadata, settled)

    async def _settle(self, metadata: CallMetadata, spending: Spending) -> None:
        for delay_s in SETTLE_RETRY_DELAYS_S:
            settled = await self._ledger.settle(spending)
            if isinstance(settled, Ok):
                return
            await anyio.sleep(delay_s)
        log.warning(
            "budget_unsettled",
            request=metadata.request_id,
            program=metadata.program,
            tokens=spending.tokens,
            reason=settled.err_value.detail,
        )


def _progress_of(spendings: dict[str, Spending], reservation_id: str) -> Progress:
    """Return how far a program has come before the turn of a reservation."""
    others = [spending for entry, spending in spendings.items() if entry != reservation_id]
    refusals = sum(spending.settled and not spending.tokens for spending in others)
    return Progress(turns=len(others) - refusals, refusals=refusals)


def _software_of(spendings: dict[str, Spending], request_id: str) -> Software | None:
    """Return the software that began a request's stream; ``None`` if that is not certain.

    An attempt that was settled without a token has brought no event.
    """
    if not request_id:
        return None
    offered = {
        spending.software
        for entry, spending in spendings.items()
        if request_of(entry) == request_id and (spending.tokens or not spending.settled)
    }
    if len(offered) != 1 or NO_SOFTWARE in offered:
        return None
    return offered.pop()
