"""Requests to model replicas: budget, history, and a stream passed on event by event."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple
from typing import Protocol
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
from bramleylead.gateway._budgets import Budgets
from bramleylead.gateway._call import Call
from bramleylead.gateway._call import NotRun
from bramleylead.gateway._call import Unknown
from bramleylead.gateway._call import WholeAnswer
from bramleylead.gateway._kept_turns import KeptTurns
from bramleylead.gateway._plain import MOVED_LIMIT
from bramleylead.gateway._plain import RETRY_AFTER_S
from bramleylead.gateway._plain import pick_service
from bramleylead.gateway._sender import Sender
from bramleylead.gateway._sender import Sent
from bramleylead.gateway._sender import read_whole
from bramleylead.gateway._types import Replica
from bramleylead.gateway._upstream import ResponseHead
from bramleylead.gateway._upstream import UpstreamError
from bramleylead.ledger._records import KeptTurn

OK_STATUS = 200

log = structlog.get_logger()


class Caller(Protocol):
    """Where an answer goes."""

    async def begin(self, head: ResponseHead) -> None:
        """Send status and headers of a stream."""
        ...

    async def pass_on(self, data: bytes) -> None:
        """Send a part of a stream."""
        ...

    async def finish(self) -> None:
        """End a stream as complete."""
        ...

    async def break_off(self) -> None:
        """End the connection so that the answer does not look complete."""
        ...

    async def answer(self, answer: WholeAnswer) -> None:
        """Send a replica's whole answer."""
        ...

    async def refuse(self, failure: Failure) -> None:
        """Send a refusal or failure of the gateway's own."""
        ...


class _End(StrEnum):
    """How reading one replica's stream ended."""

    WHOLE = "whole"
    BROKEN = "broken"
    ANSWERED = "answered"


class _Prepared(NamedTuple):
    """What a stream is sent with.

    :param body: the history, then the caller's input.
    :param entry: the reservation to settle; empty without a budget.
    """

    body: bytes
    entry: str


class _Stream:
    """One stream on its way to the caller, over one replica or several in turn."""

    def __init__(self, call: Call, caller: Caller, prepared: _Prepared) -> None:
        self.call = call
        self.caller = caller
        self.body = prepared.body
        self.entry = prepared.entry
        self.begun = False
        self.ended = False
        self.may_have_run = False
        self.sent = 0
        self.moved = 0
        self.events = 0
        self.last_event = call.facts.resume_after
        self.made = bytearray()
        self.tried: set[str] = set()
        self.detail = "no replica is in use"
        self.failed_answer: WholeAnswer | None = None

    @property
    def may_try_again(self) -> bool:
        """Whether another replica may be sent the request."""
        if self.may_have_run and not self.call.route.resumable:
            return False
        return self.sent < self.call.route.attempts and self.moved < MOVED_LIMIT

    @property
    def tokens(self) -> int:
        """The tokens handed to the caller, as budgets count them."""
        services = self.call.configuration.services
        engines = [
            spec.engine
            for share in self.call.route.shares
            if (spec := services.get(share.service)) is not None and spec.engine is not None
        ]
        return self.events * max((engine.event_tokens for engine in engines), default=1)


@final
class StreamCalls:
    """Answers requests on routes whose answers are streams."""

    def __init__(self, sender: Sender, budgets: Budgets, turns: KeptTurns) -> None:
        self._sender = sender
        self._budgets = budgets
        self._turns = turns

    async def answer(self, call: Call, caller: Caller) -> None:
        """Answer a request whole, or refuse or break it off, in time for the caller."""
        prepared = await self._prepare(call)
        if isinstance(prepared, Err):
            await caller.refuse(prepared.err_value)
        else:
            await self._stream(_Stream(call, caller, prepared.ok_value))

    async def _prepare(self, call: Call) -> Result[_Prepared, Failure]:
        """Find the history that a turn continues, and reserve its budget."""
        with anyio.move_on_after(max(0.0, call.left_s)):
            body = call.body
            if call.route.keeps_turns and call.facts.previous:
                found = await self._turns.history(call.facts.request, call.facts.previous)
                if isinstance(found, Err):
                    return found
                body = found.ok_value + call.body
            reserved = await self._budgets.reserve(call.facts)
            if isinstance(reserved, Err):
                return reserved
            return Ok(_Prepared(body, reserved.ok_value))
        detail = "history and budget took up the request's time"
        return Err(Failure(ErrorKind.OVERLOADED, detail, RETRY_AFTER_S))

    async def _stream(self, stream: _Stream) -> None:
        """Run a stream; its spending is settled however it ends."""
        kept = False
        try:
            with anyio.move_on_after(max(0.0, stream.call.left_s)):
                whole = await self._try_replicas(stream)
                kept = whole and await self._finish(stream)
            if not stream.ended:
                with anyio.CancelScope(shield=True):
                    await self._give_up(stream)
        finally:
            if not kept:
                self._budgets.settle(stream.call.facts, stream.entry, stream.tokens)

    async def _try_replicas(self, stream: _Stream) -> bool:
        """Return whether the stream has come whole; the end is not sent yet."""
        service = pick_service(stream.call.route)
        while stream.may_try_again:
            replica = self._sender.choose(stream.call, service, stream.tried)
            if replica is None:
                break
            end = await self._try(stream, replica)
            if end is not _End.BROKEN:
                return end is _End.WHOLE
        return False

    async def _try(self, stream: _Stream, replica: Replica) -> _End:
        stream.tried.add(replica.name)
        had_run, stream.may_have_run = stream.may_have_run, True
        call = stream.call
        async with self._sender.send(
            call, replica, body=stream.body, resume_after=stream.last_event
        ) as begun:
            if isinstance(begun, NotRun):
                stream.may_have_run = had_run
                stream.sent += begun.sent
                stream.moved += not begun.sent
                return self._broken(stream, replica, begun)
            stream.sent += 1
            if isinstance(begun, Unknown):
                return self._broken(stream, replica, begun)
            if begun.head.status != OK_STATUS:
                return await self._relay_failure(stream, begun)
            return await self._relay(stream, begun)

    def _broken(self, stream: _Stream, replica: Replica, outcome: NotRun | Unknown) -> _End:
        self._sender.note(replica, outcome)
        stream.detail = outcome.detail
        log.info(
            "try_failed",
            request=stream.call.facts.request,
            program=stream.call.facts.program,
            replica=replica.name,
            may_have_run=isinstance(outcome, Unknown),
            events=stream.events,
            reason=outcome.detail,
        )
        return _End.BROKEN

    async def _relay_failure(self, stream: _Stream, sent: Sent) -> _End:
        """Pass on a replica's own failure, unless the stream has begun already."""
        outcome = await read_whole(sent)
        if not isinstance(outcome, WholeAnswer):
            return self._broken(stream, sent.replica, outcome)
        if stream.begun or (outcome.failed and stream.may_try_again):
            detail = f"{sent.replica.name} answered {sent.head.status}"
            stream.failed_answer = outcome
            return self._broken(stream, sent.replica, Unknown(detail))
        self._sender.note(sent.replica, outcome)
        stream.ended = True
        await stream.caller.answer(outcome)
        return _End.ANSWERED

    async def _relay(self, stream: _Stream, sent: Sent) -> _End:
        reader = EventReader()
        try:
            while (part := await sent.link.read_part()) is not None:
                await self._pass_on(stream, sent, reader, part)
        except (UpstreamError, EventTooLargeError) as error:
            return self._broken(stream, sent.replica, Unknown(f"{sent.replica.name}: {error}"))
        if reader.left:
            detail = f"{sent.replica.name}: the stream ended within an event"
            return self._broken(stream, sent.replica, Unknown(detail))
        if not stream.begun:
            stream.begun = True
            await stream.caller.begin(sent.head)
        self._sender.note(sent.replica, WholeAnswer(sent.replica, sent.head, b""))
        return _End.WHOLE

    async def _pass_on(self, stream: _Stream, sent: Sent, reader: EventReader, part: bytes) -> None:
        events = reader.feed(part)
        if not events:
            return
        if not stream.begun:
            stream.begun = True
            await stream.caller.begin(sent.head)
        for event in events:
            stream.events += 1
            stream.last_event = event.name or stream.last_event
            if stream.call.route.keeps_turns:
                stream.made += event.data + b"\n"
        await stream.caller.pass_on(b"".join(event.raw for event in events))

    async def _finish(self, stream: _Stream) -> bool:
        """Keep a turn where the route says so, then send the end; returns whether it is kept."""
        kept = False
        if stream.call.route.keeps_turns:
            result = await self._turns.keep(_turn(stream))
            if isinstance(result, Err):
                stream.detail = result.err_value.detail
                return False
            kept = True
        stream.ended = True
        await stream.caller.finish()
        return kept

    async def _give_up(self, stream: _Stream) -> None:
        stream.ended = True
        late = stream.call.left_s <= 0
        log.info(
            "stream_given_up",
            request=stream.call.facts.request,
            program=stream.call.facts.program,
            events=stream.events,
            may_have_run=stream.may_have_run,
            late=late,
            reason=stream.detail,
        )
        if stream.begun:
            await stream.caller.break_off()
        elif stream.failed_answer is not None:
            await stream.caller.answer(stream.failed_answer)
        elif stream.may_have_run:
            kind = ErrorKind.OUTCOME_UNKNOWN if late else ErrorKind.ENDPOINT_LOST
            await stream.caller.refuse(Failure(kind, stream.detail))
        else:
            await stream.caller.refuse(Failure(ErrorKind.OVERLOADED, stream.detail, RETRY_AFTER_S))


def _turn(stream: _Stream) -> KeptTurn:
    call = stream.call
    return KeptTurn(
        turn=call.facts.request,
        previous=call.facts.previous,
        program=call.facts.program,
        entry=stream.entry,
        tokens=stream.tokens,
        keep_s=call.route.keep_turns_s,
        given=call.body,
        made=bytes(stream.made),
    )
