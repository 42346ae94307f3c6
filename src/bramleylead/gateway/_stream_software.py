"""Keeps a stream to the software that began it, and its record in the ledger true."""

from __future__ import annotations

from typing import final

import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.gateway._budgets import Budgets
from bramleylead.gateway._call import Call
from bramleylead.gateway._replica_choice import ReplicaChoice
from bramleylead.gateway._stream_state import Stream
from bramleylead.platform._types import NO_SOFTWARE
from bramleylead.platform._types import Replica
from bramleylead.platform._types import Software

log = structlog.get_logger()


@final
class StreamSoftware:
    """Decides which software may write a stream, and records it before it does."""

    def __init__(self, choice: ReplicaChoice, budgets: Budgets) -> None:
        self._choice = choice
        self._budgets = budgets

    def to_record(self, call: Call, service: str) -> Software:
        """Return the software that a stream is going to be offered to, if it may be resumed."""
        if not call.route.resumable or call.resumes_stream:
            return NO_SOFTWARE
        return self._choice.preferred_software(call, service)

    def refusal(self, call: Call, begun_by: Software | None) -> Failure | None:
        """Return a failure if no replica can go on with a stream that a caller resumes."""
        if begun_by is None:
            detail = f"request {call.metadata.resumed_request!r} began no stream that is known"
            return Failure(ErrorKind.STREAM_NOT_RESUMABLE, detail)
        is_allowed = any(share.service == begun_by.service for share in call.route.shares)
        if is_allowed and self._choice.is_served(begun_by):
            return None
        detail = f"no replica runs the software that began the stream: {begun_by}"
        return Failure(ErrorKind.STREAM_NOT_RESUMABLE, detail)

    async def choose(self, stream: Stream) -> Replica | None:
        """Return the next replica; one that runs the stream's software, once it has begun."""
        call, software = stream.call, stream.software
        under_way = stream.is_under_way
        if software is not None:
            replica = await self._choice.choose(
                call,
                stream.service,
                stream.tried_replicas,
                software=software,
                under_way=under_way,
            )
            if replica is not None or stream.begun_by is not None:
                return replica
        return await self._choice.choose(
            call, stream.service, stream.tried_replicas, under_way=under_way
        )

    async def record(self, stream: Stream, replica: Replica) -> bool:
        """Record the software that may begin a stream before it does; return if that succeeded."""
        recorded = stream.reservation.spending
        if recorded is None or not stream.call.route.resumable or stream.begun_by is not None:
            return True
        if recorded.software == replica.software:
            return True
        replaced = await self._replace_record(stream, replica.software)
        if isinstance(replaced, Err):
            stream.detail = replaced.err_value.detail
            return False
        return True

    async def check(self, stream: Stream, replica: Replica) -> None:
        """Record that it is unknown what wrote a stream, if its replica's entry has changed.

        A replica that starts again under its name with other software answers before the list
        tells of it.
        """
        if stream.begun_by is None or stream.software_changed:
            return
        if self._choice.runs_as_listed(replica):
            return
        stream.software_changed = True
        log.info(
            "software_changed",
            request=stream.call.metadata.request_id,
            replica=replica.name,
            software=replica.software_version,
            events=stream.events,
        )
        recorded = stream.reservation.spending
        if recorded is not None and recorded.software != NO_SOFTWARE:
            await self._replace_record(stream, NO_SOFTWARE)

    async def _replace_record(self, stream: Stream, software: Software) -> Result[None, Failure]:
        """Reserve a stream's budget again, with other software, and release what was reserved."""
        reserved = await self._budgets.reserve(
            stream.call.metadata,
            resumable=True,
            software=software,
            replaces=stream.reservation.entry,
            customer=stream.call.turn_owner or "",
        )
        if isinstance(reserved, Err):
            return reserved
        self._budgets.settle(stream.call.metadata, stream.reservation, 0)
        stream.reservation = reserved.ok_value
        return Ok(None)
