"""Keeps requests that crash the replicas that run them away from the replicas."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import final

import anyio
import structlog

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.gateway._call import Call
from bramleylead.gateway._directory import Directory
from bramleylead.gateway._replica_connections import ReplicaConnections
from bramleylead.placement._crash_table import WEIGHT_AFTER_EVENTS
from bramleylead.placement._crash_table import WEIGHT_BEFORE_EVENTS
from bramleylead.placement._crash_table import CrashEvidence
from bramleylead.placement._crash_table import CrashTable
from bramleylead.placement._crash_table import RecentAnswers
from bramleylead.platform._types import Replica

log = structlog.get_logger()


@final
class CrashGuard:
    """Records which requests were running when replicas crashed, and refuses those to blame.

    :param table: what is known of such requests, from this gateway and from others.
    :param report: tells the other gateways, and returns what they have reported.
    """

    def __init__(
        self,
        directory: Directory,
        connections: ReplicaConnections,
        table: CrashTable,
        *,
        report: Callable[[tuple[CrashEvidence, ...]], Awaitable[Iterable[CrashEvidence]]],
    ) -> None:
        self._directory = directory
        self._connections = connections
        self._table = table
        self._report = report
        self._answered = RecentAnswers()

    def refusal(self, call: Call) -> Failure | None:
        """Return a failure if a request must not be sent to any replica now."""
        if not self.is_suspect(call):
            return None
        now = anyio.current_time()
        replicas = max(len(self._directory.replicas(to.service)) for to in call.route.shares)
        hold_s = max(
            self._table.hold_s(digest, replicas=replicas, now=now) for digest in self._digests(call)
        )
        if not hold_s:
            return None
        detail = (
            f"request {call.fingerprint.whole.hex()} is held back for {hold_s:.1f} s: replicas "
            "crashed while they ran it"
        )
        return Failure(ErrorKind.CRASHES_ENDPOINTS, detail, hold_s)

    def is_suspect(self, call: Call) -> bool:
        """Return whether a request was running at a crash and has not been answered since."""
        now = anyio.current_time()
        return any(self._table.is_suspect(digest, now=now) for digest in self._digests(call))

    def evidence(self, call: Call) -> tuple[CrashEvidence, ...]:
        """Return what is known of a request."""
        now = anyio.current_time()
        return tuple(self._table.evidence(digest, now=now) for digest in call.fingerprint)

    def merge(self, evidence: Iterable[CrashEvidence]) -> None:
        """Record what is known elsewhere."""
        self._table.merge_all(evidence, now=anyio.current_time())

    async def record_lost_connection(self, call: Call, replica: Replica, *, events: int) -> bool:
        """Record that the connection on which a replica ran a request was lost.

        Only a replica that also refuses the next connection has crashed; one that leaves may end.

        :param events: how many events it had sent.
        :returns: whether the replica has crashed.
        """
        if not self._directory.is_usable(replica.name):
            return False
        if not await self._connections.has_crashed(replica):
            return False
        weight = WEIGHT_AFTER_EVENTS if events else WEIGHT_BEFORE_EVENTS
        await self._record(
            CrashEvidence(key, {replica.name: weight}, 0.0) for key in call.fingerprint
        )
        refusal = self.refusal(call)
        log.info(
            "replica_crashed",
            request=call.metadata.request_id,
            program=call.metadata.program,
            fingerprint=call.fingerprint.whole.hex(),
            beginning=call.fingerprint.beginning.hex(),
            replica=replica.name,
            events=events,
            crashes=max(len(known.replicas) for known in self.evidence(call)),
            held_back_s=0.0 if refusal is None else refusal.retry_after_s,
        )
        return True

    async def record_success(self, call: Call) -> None:
        """Record that a replica has answered a request."""
        now = anyio.current_time()
        self._answered.record(call.fingerprint.beginning)
        cleared = [key for key in call.fingerprint if self._table.is_suspect(key, now=now)]
        if cleared:
            await self._record(CrashEvidence(key, {}, cleared_age_s=0.0) for key in cleared)
            log.info(
                "suspicion_cleared",
                request=call.metadata.request_id,
                fingerprint=call.fingerprint.whole.hex(),
            )

    def _digests(self, call: Call) -> tuple[bytes, ...]:
        """Return the digests by which a request may be held back."""
        if call.fingerprint.beginning in self._answered:
            return (call.fingerprint.whole,)
        return call.fingerprint

    async def _record(self, found: Iterable[CrashEvidence]) -> None:
        evidence = tuple(found)
        self.merge(evidence)
        self.merge(await self._report(evidence))
