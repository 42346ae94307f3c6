"""What a gateway tells the nearest members in the background, besides its entries."""

from __future__ import annotations

from typing import Any
from typing import final

import anyio
from anyio.abc import TaskGroup
from result import Ok
from result import Result

from bramleylead.connection import PeerClient
from bramleylead.errors import Failure
from bramleylead.ledger._known_members import KnownMembers
from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._messages import KnownCrashes
from bramleylead.ledger._messages import ReportCrash
from bramleylead.ledger._messages import ReportLoad
from bramleylead.placement._crash_table import CrashEvidence
from bramleylead.placement._fleet_table import LoadReport
from bramleylead.supervision import contain

PLACEMENT_REPORTS = 2
"""Members told of each placement. They tell the others some time later, and with one only, more
turns meet at a replica in the meantime."""
CRASH_REPORTS = 3
"""Members told of a crash; one or two of them may be restarting."""
CRASH_ANSWER_WAIT_S = 0.06
"""Two gateways may meet the same request at the same time; a member in another region answers
within this time."""
REPORT_TIMEOUT_S = 0.5


@final
class MemberReports:
    """Sends reports to members; a report that is lost is not sent again.

    :param tasks: runs the sending.
    """

    def __init__(self, peers: PeerClient, members: KnownMembers, tasks: TaskGroup) -> None:
        self._peers = peers
        self._members = members
        self._tasks = tasks

    def report_placement(self, report: LoadReport) -> None:
        """Tell that a turn was placed.

        This happens with each turn, so a task is started only where it has to connect first.
        """
        message = ReportLoad(report)
        for member in self._members.by_distance()[:PLACEMENT_REPORTS]:
            if not self._peers.post(member.address, message):
                self._tasks.start_soon(contain, "report", self._send, member, message)

    async def report_crash(self, evidence: tuple[CrashEvidence, ...]) -> list[CrashEvidence]:
        """Tell that a request was running when a replica crashed, or that it was answered.

        The members are told even if the caller is cancelled.

        :returns: what they know of it, as far as they answer soon.
        """
        known: list[CrashEvidence] = []
        all_answered = anyio.Event()
        members = self._members.by_distance()[:CRASH_REPORTS]
        remaining = len(members)

        async def report_to(member: LedgerMember) -> None:
            nonlocal remaining
            answer = await self._send(member, ReportCrash(evidence))
            if isinstance(answer, Ok) and isinstance(answer.ok_value, KnownCrashes):
                known.extend(answer.ok_value.crashes)
            remaining -= 1
            if not remaining:
                all_answered.set()

        for member in members:
            self._tasks.start_soon(contain, "report", report_to, member)
        with anyio.move_on_after(CRASH_ANSWER_WAIT_S if members else 0.0):
            await all_answered.wait()
        return known

    async def _send(self, member: LedgerMember, report: Any) -> Result[Any, Failure]:
        return await self._peers.request(
            member.address, report, timeout_s=REPORT_TIMEOUT_S, idempotent=False
        )
