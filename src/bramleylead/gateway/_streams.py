"""Requests to model replicas: budget, turn history, and a stream relayed event by event."""

from __future__ import annotations

from enum import StrEnum
from itertools import takewhile
from typing import final

import anyio
import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.connection._events import EventReader
from bramleylead.connection._events import EventTooLargeError
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.gateway._budgets import BudgetReservation
from bramleylead.gateway._budgets import Budgets
from bramleylead.gateway._call import Call
from bramleylead.gateway._call import CompleteResponse
from bramleylead.gateway._call import NotRun
from bramleylead.gateway._call import UnknownOutcome
from bramleylead.gateway._crash_guard import CrashGuard
from bramleylead.gateway._customer_permits import Admission
from bramleylead.gateway._customer_quotas import CustomerQuotas
from bramleylead.gateway._permit_waits import RETRY_AFTER_S
from bramleylead.gateway._replica_connection import UpstreamError
from bramleylead.gateway._response_body import StartedResponse
from bramleylead.gateway._response_body import read_complete
from bramleylead.gateway._response_body import unknown_outcome
from bramleylead.gateway._sender import Sender
from bramleylead.gateway._stream_software import StreamSoftware
from bramleylead.gateway._stream_state import PreparedRequest
from bramleylead.gateway._stream_state import ResponseWriter
from bramleylead.gateway._stream_state import Stream
from bramleylead.gateway._turn_history import TurnHistory
from bramleylead.platform._types import Replica

OK_STATUS = 200
MAX_SHOWN_BYTES = 40

log = structlog.get_logger()


class _StreamEnd(StrEnum):
    """How reading one replica's stream ended."""

    WHOLE = "whole"
    BROKEN = "broken"
    ANSWERED = "answered"


@final
class StreamCalls:
    """Answers requests on streaming routes."""

    def __init__(
        self,
        sender: Sender,
        budgets: Budgets,
        history: TurnHistory,
        guard: CrashGuard,
        quotas: CustomerQuotas,
    ) -> None:
        self._sender = sender
        self._guard = guard
        self._quotas = quotas
        self._budgets = budgets
        self._history = history
        self._software = StreamSoftware(sender.choice, budgets)

    async def answer(self, call: Call, writer: ResponseWriter) -> None:
        """Send a complete response, an error or an aborted stream by the caller's deadline."""
        self._sender.record_demand()
        refusal = self._guard.refusal(call)
        prepared = await self._prepare(call) if refusal is None else Err(refusal)
        if isinstance(prepared, Err):
            await writer.send_failure(prepared.err_value)
        else:
            await self._stream(Stream(call, writer, prepared.ok_value))

    async def _prepare(self, call: Call) -> Result[PreparedRequest, Failure]:
        """Load the history that a turn continues, and reserve its budget."""
        with anyio.move_on_after(max(0.0, call.remaining_s)):
            body = call.body
            if call.route.retains_turns and call.metadata.previous_turn:
                history = await self._history.find_history(
                    call.metadata.request_id,
                    call.metadata.previous_turn,
                    program=call.metadata.program,
                    owner=call.turn_owner,
                )
                if isinstance(history, Err):
                    return history
                body = history.ok_value + call.body
            return await self._reserve(call, body)
        detail = "history and budget were not ready within the request's deadline"
        return Err(Failure(ErrorKind.OVERLOADED, detail, RETRY_AFTER_S))

    async def _reserve(self, call: Call, body: bytes) -> Result[PreparedRequest, Failure]:
        """Reserve a turn's budget, unless the turn may not be sent now."""
        service = self._sender.choice.pick_service(call.route)
        reserved = await self._budgets.reserve(
            call.metadata,
            crashes=self._guard.evidence(call),
            resumable=call.route.resumable,
            software=self._software.to_record(call, service),
            customer=call.turn_owner or "",
        )
        if isinstance(reserved, Err):
            return reserved
        reservation = reserved.ok_value
        self._sender.record_fleet_load(call, reservation.fleet)
        self._guard.merge(reservation.crashes)
        failure = self._check_reserved(call, service, reservation)
        if failure is not None:
            self._budgets.settle(call.metadata, reservation, 0)
            return Err(failure)
        admitted = await self._admit(call, reservation)
        if isinstance(admitted, Err):
            return admitted
        begun_by = reservation.begun_by if call.resumes_stream else None
        if begun_by is not None:
            service = begun_by.service
        return Ok(PreparedRequest(body, reservation, service, begun_by, admitted.ok_value))

    async def _admit(
        self, call: Call, reservation: BudgetReservation
    ) -> Result[Admission, Failure]:
        """Check the customer's quota; the reservation of a turn that is not sent is settled."""
        progress = reservation.progress
        under_way = bool(call.metadata.previous_turn) or (
            progress is not None and progress.turns > 0
        )
        admitted: Result[Admission, Failure] | None = None
        try:
            admitted = await self._quotas.admit(call, under_way=under_way)
        finally:
            if not isinstance(admitted, Ok):
                self._budgets.settle(call.metadata, reservation, 0)
        return admitted

    def _check_reserved(
        self, call: Call, service: str, reservation: BudgetReservation
    ) -> Failure | None:
        """Return a failure if a turn may not be sent now, by what its reservation tells."""
        held_back = self._guard.refusal(call)
        if held_back is not None:
            return held_back
        if call.resumes_stream:
            return self._software.refusal(call, reservation.begun_by)
        if reservation.progress is None:
            return None
        refusal = self._sender.check_admission(call, service, reservation.progress)
        if refusal is None:
            return None
        return Failure(ErrorKind.OVERLOADED, refusal.detail, refusal.retry_after_s)

    async def _stream(self, stream: Stream) -> None:
        """Run a stream; its spending is settled in every case."""
        turn_saved = False
        try:
            with anyio.move_on_after(max(0.0, stream.call.remaining_s)):
                complete = await self._try_replicas(stream)
                turn_saved = complete and await self._finish(stream)
            if not stream.finished:
                with anyio.CancelScope(shield=True):
                    await self._give_up(stream)
        finally:
            if not stream.may_have_run:
                self._quotas.give_back(stream.admission)
            if not turn_saved:
                self._budgets.settle(stream.call.metadata, stream.reservation, stream.tokens)

    async def _try_replicas(self, stream: Stream) -> bool:
        """Relay the stream; return whether it is complete. The end is not sent yet."""
        while stream.can_retry and self._guard.refusal(stream.call) is None:
            replica = await self._software.choose(stream)
            if replica is None:
                stream.retry_after_s = self._sender.choice.retry_after_s(stream.service)
                break
            if not await self._software.record(stream, replica):
                break
            events_before = stream.events
            end = await self._attempt(stream, replica)
            if end is not _StreamEnd.BROKEN:
                return end is _StreamEnd.WHOLE
            await self._software.check(stream, replica)
            if stream.connection_lost:
                crashed = await self._guard.record_lost_connection(
                    stream.call, replica, events=stream.events - events_before
                )
                # A replica that has crashed no longer works on the request.
                stream.attempts -= crashed
        return False

    async def _attempt(self, stream: Stream, replica: Replica) -> _StreamEnd:
        stream.tried_replicas.add(replica.name)
        may_have_run_before, stream.may_have_run = stream.may_have_run, True
        call = stream.call
        async with self._sender.send(
            call, replica, body=stream.body, resume_after=stream.last_event_id
        ) as result:
            if isinstance(result, NotRun):
                stream.may_have_run = may_have_run_before
                stream.attempts += result.counts_as_attempt
                stream.unreached += not result.counts_as_attempt
                return self._record_broken(stream, replica, result)
            stream.attempts += 1
            if isinstance(result, UnknownOutcome):
                return self._record_broken(stream, replica, result)
            if result.head.status != OK_STATUS:
                return await self._relay_error(stream, result)
            if stream.media_type and result.head.media_type != stream.media_type:
                detail = f"{replica.name}: {result.head.media_type!r} instead of the stream's rest"
                return self._record_broken(stream, replica, UnknownOutcome(detail))
            return await self._relay(stream, result)

    def _record_broken(
        self, stream: Stream, replica: Replica, outcome: NotRun | UnknownOutcome
    ) -> _StreamEnd:
        self._sender.record_outcome(replica, outcome)
        stream.connection_lost = isinstance(outcome, UnknownOutcome) and outcome.connection_lost
        stream.detail = outcome.detail
        log.info(
            "try_failed",
            request=stream.call.metadata.request_id,
            program=stream.call.metadata.program,
            replica=replica.name,
            may_have_run=isinstance(outcome, UnknownOutcome),
            events=stream.events,
            reason=outcome.detail,
        )
        return _StreamEnd.BROKEN

    async def _relay_error(self, stream: Stream, response: StartedResponse) -> _StreamEnd:
        """Relay a replica's error response, unless the stream has already started."""
        outcome = await read_complete(response, stream.call.admit_response)
        if not isinstance(outcome, CompleteResponse):
            return self._record_broken(stream, response.replica, outcome)
        if stream.started or (outcome.is_server_error and stream.can_retry):
            detail = f"{response.replica.name} answered {response.head.status}"
            stream.error_response = outcome
            return self._record_broken(stream, response.replica, UnknownOutcome(detail))
        self._sender.record_outcome(response.replica, outcome)
        stream.finished = True
        await stream.writer.send_response(outcome)
        return _StreamEnd.ANSWERED

    async def _relay(self, stream: Stream, response: StartedResponse) -> _StreamEnd:
        reader = EventReader()
        try:
            while (chunk := await response.connection.read_chunk()) is not None:
                await self._relay_chunk(stream, response, reader, chunk)
        except (UpstreamError, EventTooLargeError) as error:
            if isinstance(error, EventTooLargeError):
                error = UpstreamError(str(error))
            outcome = unknown_outcome(response.replica, error)
            return self._record_broken(stream, response.replica, outcome)
        if reader.remainder:
            detail = f"{response.replica.name}: the stream ended within an event"
            return self._record_broken(stream, response.replica, UnknownOutcome(detail))
        if not stream.started:
            await self._start(stream, response)
        self._sender.record_outcome(
            response.replica, CompleteResponse(response.replica, response.head, b"")
        )
        await self._guard.record_success(stream.call)
        took_s = anyio.current_time() - stream.started_at
        self._sender.record_turn(stream.call, response.replica, took_s=took_s)
        return _StreamEnd.WHOLE

    async def _relay_chunk(
        self, stream: Stream, response: StartedResponse, reader: EventReader, chunk: bytes
    ) -> None:
        """Relay the events that a chunk completes, up to one that is not of this stream.

        :raises UpstreamError: if there is one.
        """
        events = reader.feed(chunk)
        sound = list(takewhile(stream.accept_event, events))
        if sound:
            if not stream.started:
                await self._start(stream, response)
            if stream.begun_by is None:
                stream.begun_by = response.replica.software
            await stream.writer.write(b"".join(event.raw for event in sound))
            await self._software.check(stream, response.replica)
        if len(sound) < len(events):
            shown = events[len(sound)].raw[:MAX_SHOWN_BYTES]
            raise UpstreamError(f"no event of this stream after {stream.last_event_id}: {shown!r}")

    async def _start(self, stream: Stream, response: StartedResponse) -> None:
        stream.started = True
        stream.media_type = response.head.media_type
        await stream.writer.start_stream(response.head)

    async def _finish(self, stream: Stream) -> bool:
        """Store the turn if the route requires it, then end the stream; return if it was stored."""
        turn_saved = False
        if stream.call.route.retains_turns:
            result = await self._history.save(stream.kept_turn())
            if isinstance(result, Err):
                stream.detail = result.err_value.detail
                return False
            turn_saved = True
        stream.finished = True
        await stream.writer.finish_stream()
        return turn_saved

    async def _give_up(self, stream: Stream) -> None:
        stream.finished = True
        deadline_passed = stream.call.remaining_s <= 0
        log.info(
            "stream_given_up",
            request=stream.call.metadata.request_id,
            program=stream.call.metadata.program,
            events=stream.events,
            may_have_run=stream.may_have_run,
            late=deadline_passed,
            reason=stream.detail,
        )
        if stream.started:
            await stream.writer.abort()
        elif stream.error_response is not None:
            await stream.writer.send_response(stream.error_response)
        elif stream.may_have_run:
            kind = ErrorKind.OUTCOME_UNKNOWN if deadline_passed else ErrorKind.ENDPOINT_LOST
            await stream.writer.send_failure(Failure(kind, stream.detail))
        else:
            await stream.writer.send_failure(
                Failure(ErrorKind.OVERLOADED, stream.detail, stream.retry_after_s)
            )
