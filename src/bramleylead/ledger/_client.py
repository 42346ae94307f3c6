"""The gateways' client of the ledger; an entry is committed once enough members have it on disk."""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Sequence
from types import TracebackType
from typing import Any
from typing import NamedTuple
from typing import Self
from typing import final

import anyio
import structlog
from anyio.abc import TaskGroup
from result import Err
from result import Ok
from result import Result

from bramleylead.connection import PeerClient
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.ledger._answers import LOOKUP_TIMEOUT_S
from bramleylead.ledger._answers import ChainSearch
from bramleylead.ledger._answers import EntryRound
from bramleylead.ledger._answers import request_member
from bramleylead.ledger._known_members import STATE_TIMEOUT_S
from bramleylead.ledger._known_members import KnownMembers
from bramleylead.ledger._known_members import ReadMembers
from bramleylead.ledger._member_reports import MemberReports
from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._members import LedgerView
from bramleylead.ledger._messages import AskState
from bramleylead.ledger._messages import Keep
from bramleylead.ledger._messages import Reserve
from bramleylead.ledger._messages import Settle
from bramleylead.ledger._records import KeptTurn
from bramleylead.ledger._records import Spending
from bramleylead.ledger._records import merge_spendings
from bramleylead.ledger._turn_parts import split_turn
from bramleylead.placement._crash_table import CrashEvidence
from bramleylead.placement._fleet_table import NO_REPORT
from bramleylead.placement._fleet_table import FleetLoad
from bramleylead.placement._fleet_table import LoadReport
from bramleylead.placement._fleet_table import merge_fleet_loads
from bramleylead.supervision import contain

RESERVE_TIMEOUT_S = 0.7
KEEP_TIMEOUT_S = 1.5
PROBE_INTERVAL_S = 0.3
LOOKUP_HEDGE_DELAY_S = 0.06
ENTRY_HEDGE_DELAY_S = 0.12
"""An entry is sent to the required number of near members, and after this delay to all others."""
MAX_ATTEMPTS = 3
RETRY_AFTER_S = 0.3

log = structlog.get_logger()


class Reservation(NamedTuple):
    """A committed reservation.

    :param spendings: all known spendings of the program, by entry.
    :param fleet: the load of the other gateways, and where the turn's prompt is cached.
    :param crashes: the crashes at which this turn was running, at any gateway.
    """

    spendings: dict[str, Spending]
    fleet: FleetLoad
    crashes: tuple[CrashEvidence, ...] = ()


@final
class LedgerClient:
    """Writes entries to the ledger and reads them.

    :param read_members: reads the list of members from the platform's store.
    :param losses: how many members may lose their disks at once.
    :param rng: decides between members that are equally near.
    :param data_centre: its members are preferred, then those of its region.
    :param regions: the region of each data centre.
    :param seeds: addresses of possible ledger nodes, queried while no member is known.
    :param patience_s: after the start, the store is not read for this time, since the nodes usually
        start at the same moment.

    ``report_load`` returns what this gateway reports of its load with each entry.
    """

    def __init__(
        self,
        peers: PeerClient,
        read_members: ReadMembers,
        *,
        losses: int,
        rng: random.Random,
        data_centre: str = "",
        regions: dict[str, str] | None = None,
        seeds: Sequence[str] = (),
        patience_s: float = 0.0,
    ) -> None:
        self._members = KnownMembers(
            peers,
            read_members,
            data_centre=data_centre,
            regions=regions or {},
            seeds=seeds,
            patience_s=patience_s,
            rng=rng,
        )
        self._peers = peers
        self._losses = losses
        self._unavailable_since: float | None = None
        self._became_unavailable = anyio.Event()
        self._tasks: TaskGroup | None = None
        self._reports: MemberReports | None = None
        self.report_load: Callable[[], LoadReport] = lambda: NO_REPORT

    async def __aenter__(self) -> Self:
        self._tasks = anyio.create_task_group()
        await self._tasks.__aenter__()
        self._reports = MemberReports(self._peers, self._members, self._tasks)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        assert self._tasks is not None
        self._tasks.cancel_scope.cancel()
        return await self._tasks.__aexit__(kind, error, trace)

    @property
    def view(self) -> LedgerView:
        """The latest view that this client knows."""
        return self._members.view

    @property
    def is_unavailable(self) -> bool:
        """Whether too few members respond to write entries; reset by :meth:`run_probes`."""
        return self._unavailable_since is not None

    def members_by_distance(self, view: LedgerView | None = None) -> list[LedgerMember]:
        """Return the members of a view, by default the current one, nearest first."""
        return self._members.by_distance(view)

    async def refresh(self) -> None:
        """Refresh the view from the members and, less often, from the platform's store."""
        await self._members.refresh()

    async def run_probes(self) -> None:
        """Probe the members whenever the ledger is unavailable, until enough of them respond."""
        while True:
            await self._became_unavailable.wait()
            await anyio.sleep(PROBE_INTERVAL_S)
            await self._probe()

    async def _probe(self) -> None:
        await self.refresh()
        view = self.view
        answering: list[LedgerMember] = []

        async def probe_member(member: LedgerMember) -> None:
            answer = await self._peers.request(
                member.address, AskState(), timeout_s=STATE_TIMEOUT_S, idempotent=True
            )
            if isinstance(answer, Ok) and answer.ok_value.disk == member.disk:
                answering.append(member)

        async with anyio.create_task_group() as tasks:
            for member in view.members:
                tasks.start_soon(probe_member, member)
        enough = len(answering) >= view.acks_needed(self._losses) > self._losses
        if enough and self._unavailable_since is not None:
            outage_s = anyio.current_time() - self._unavailable_since
            self._unavailable_since = None
            self._became_unavailable = anyio.Event()
            log.info("ledger_regained", epoch=view.epoch, out_s=round(outage_s, 3))

    def _mark_unavailable(self, detail: str) -> None:
        if self._unavailable_since is None:
            self._unavailable_since = anyio.current_time()
            self._became_unavailable.set()
            log.warning("ledger_lost_contact", epoch=self.view.epoch, reason=detail)

    async def reserve(
        self,
        spending: Spending,
        *,
        prompt_parts: tuple[str, ...] = (),
        crashes: tuple[CrashEvidence, ...] = (),
    ) -> Result[Reservation, Failure]:
        """Reserve the most that a turn may spend.

        :param prompt_parts: the parts of the turn's prompt, to learn where they are cached.
        :param crashes: the crashes at which this turn was running, as far as they are known here.
        """
        if self.is_unavailable:
            return Err(_unavailable("too few ledger members respond"))
        acks = await self._write_entry(
            lambda epoch: Reserve(epoch, spending, self.report_load(), prompt_parts, crashes),
            timeout_s=RESERVE_TIMEOUT_S,
        )
        if isinstance(acks, Err):
            return acks
        return Ok(
            Reservation(
                merge_spendings(ack.spendings for ack in acks.ok_value),
                merge_fleet_loads(ack.fleet for ack in acks.ok_value),
                tuple(evidence for ack in acks.ok_value for evidence in ack.crashes),
            )
        )

    def report_placement(self) -> None:
        """Tell the nearest members in the background that a turn was placed."""
        assert self._reports is not None, "LedgerClient is used outside its context"
        if not self.is_unavailable:
            self._reports.report_placement(self.report_load())

    async def report_crash(self, evidence: tuple[CrashEvidence, ...]) -> list[CrashEvidence]:
        """Tell the nearest members that a request was running at a crash, or was answered.

        :returns: what they know of it, as far as they answer soon.
        """
        assert self._reports is not None, "LedgerClient is used outside its context"
        return await self._reports.report_crash(evidence)

    async def settle(self, spending: Spending) -> Result[None, Failure]:
        """Record what a turn has spent."""
        return _discard_value(
            await self._write_entry(
                lambda epoch: Settle(epoch, spending, self.report_load()),
                timeout_s=KEEP_TIMEOUT_S,
            )
        )

    async def keep(self, turn: KeptTurn) -> Result[None, Failure]:
        """Store a completely answered turn, and settle its spending."""
        for part in split_turn(turn):
            kept = await self._write_entry(
                lambda epoch, part=part: Keep(epoch, part, self.report_load()),  # type: ignore[misc]
                timeout_s=KEEP_TIMEOUT_S,
            )
            if isinstance(kept, Err):
                return kept
        return Ok(None)

    async def find_chain(self, turn: str) -> Result[list[KeptTurn], Failure]:
        """Return a turn and all its predecessors, oldest first.

        The failure is ``UNKNOWN_TURN`` only if it is certain that the turn is not stored.
        """
        turns: dict[str, KeptTurn] = {}
        for _ in range(MAX_ATTEMPTS):
            view = await self._known_view()
            found = await self._search_chain(view, turn, turns)
            if found is not None:
                return found
        return Err(_unavailable(f"turn {turn}: the ledger's members keep changing"))

    async def _known_view(self) -> LedgerView:
        if len(self.view.members) <= self._losses:
            await self.refresh()
        return self.view

    async def _write_entry(
        self, entry: Callable[[int], Any], *, timeout_s: float
    ) -> Result[list[Any], Failure]:
        """Send an entry to the members and wait until it is committed."""
        detail = ""
        for _ in range(MAX_ATTEMPTS):
            view = await self._known_view()
            if len(view.members) <= self._losses:
                detail = f"{len(view.members)} members known, more than {self._losses} required"
                break
            round_ = EntryRound(view, view.acks_needed(self._losses))
            await self._send_round(round_, entry(view.epoch), timeout_s=timeout_s)
            if round_.newer_view is not None:
                self._members.adopt(round_.newer_view, source="answer")
                continue
            if len(round_.acks) >= round_.required_acks:
                return Ok(list(round_.acks))
            detail = (
                f"{len(round_.acks)} of {round_.required_acks} acknowledgements; {round_.failures}"
            )
            assert self._tasks is not None
            self._tasks.start_soon(contain, "refresh", self.refresh)
            break
        self._mark_unavailable(detail)
        return Err(_unavailable(f"ledger at epoch {self.view.epoch}: {detail}"))

    async def _send_round(self, round_: EntryRound, entry: Any, *, timeout_s: float) -> None:
        """Send an entry to enough near members, and to the others if these fail or are slow.

        Members copy records from each other, so all of them receive the entry eventually.
        """
        assert self._tasks is not None, "LedgerClient is used outside its context"
        ordered = self.members_by_distance(round_.view)
        for member in ordered[: round_.required_acks]:
            self._tasks.start_soon(contain, "entry", self._send, member, entry, round_)
        with anyio.move_on_after(ENTRY_HEDGE_DELAY_S):
            await round_.decided_or_failed.wait()
        if round_.decided.is_set():
            return
        for member in ordered[round_.required_acks :]:
            self._tasks.start_soon(contain, "entry", self._send, member, entry, round_)
        with anyio.move_on_after(timeout_s - ENTRY_HEDGE_DELAY_S):
            await round_.decided.wait()

    async def _send(self, member: LedgerMember, entry: Any, round_: EntryRound) -> None:
        round_.record_answer(member, await request_member(self._peers, round_.view, member, entry))

    async def _search_chain(
        self, view: LedgerView, turn: str, found: dict[str, KeptTurn]
    ) -> Result[list[KeptTurn], Failure] | None:
        """Query the members, nearest first; ``None`` if a newer view requires a restart.

        :param found: the turns found so far, to which this adds.
        """
        search = ChainSearch(self._peers, view, turn, found)
        waiting = self.members_by_distance(view)
        async with anyio.create_task_group() as tasks:
            with anyio.move_on_after(LOOKUP_TIMEOUT_S) as scope:
                while not search.is_finished:
                    if waiting:
                        tasks.start_soon(search.query_member, waiting.pop(0))
                    await search.wait_while_answering(
                        scope, LOOKUP_HEDGE_DELAY_S if waiting else LOOKUP_TIMEOUT_S
                    )
            tasks.cancel_scope.cancel()
        if search.newer_view is not None:
            self._members.adopt(search.newer_view, source="answer")
            return None
        chain = search.complete_chain()
        if chain is not None:
            return Ok(chain)
        if search.absent_count >= view.absences_needed(self._losses):
            return Err(Failure(ErrorKind.UNKNOWN_TURN, f"turn {turn} is not stored"))
        assert self._tasks is not None
        self._tasks.start_soon(contain, "refresh", self.refresh)
        return Err(
            _unavailable(f"turn {turn}: absent at {search.absent_count} of {len(view.members)}")
        )


def _discard_value(result: Result[Any, Failure]) -> Result[None, Failure]:
    return result if isinstance(result, Err) else Ok(None)


def _unavailable(detail: str) -> Failure:
    return Failure(ErrorKind.NOT_DURABLE, detail, RETRY_AFTER_S)
