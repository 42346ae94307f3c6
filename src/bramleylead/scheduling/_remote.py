"""Slots from a dispatcher on another node, over one peer call per slot.

The call stays open while the slot is held. The holder sends heartbeats on it. If they stop or the
connection breaks, the dispatcher releases the slot, so that a failed holder doesn't leak it.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import NamedTuple
from typing import final

import anyio
from result import Err
from result import Ok
from result import Result

from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.connection import Reply
from bramleylead.connection import message
from bramleylead.connection._rpc import PeerCall
from bramleylead.connection._rpc import first_answer
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.scheduling._dispatcher import Dispatcher
from bramleylead.scheduling._dispatcher import GrantedSlot
from bramleylead.scheduling._pool_load import PoolNews
from bramleylead.scheduling._types import Slot
from bramleylead.scheduling._types import SlotFinished
from bramleylead.scheduling._types import SlotGranted
from bramleylead.scheduling._types import SlotRequest

HEARTBEAT_S = 1.0
HEARTBEAT_TIMEOUT_S = 4.0
REPORT_TIMEOUT_S = 1.0
ANSWER_GRACE_S = 1.0
"""Added to the deadline of the call when waiting for the dispatcher's answer."""


@message(43)
class PoolSlotRequest(NamedTuple):
    """A request for a slot of one pool. Answered by :class:`PoolSlotAnswer`."""

    pool: str
    request: SlotRequest


@message(45)
class PoolSlotAnswer(NamedTuple):
    """The granted slot or the failure, and the pool's load.

    :param failure: error kind, empty when a slot is granted.
    """

    granted: SlotGranted | None
    load: PoolNews
    failure: str = ""
    detail: str = ""
    retry_after_s: float = -1.0


@message(46)
class SlotHeld(NamedTuple):
    """Heartbeat from the holder of a slot."""


@final
class SlotServer:
    """Answers slot requests of other nodes through the dispatchers of this node.

    :param dispatcher: returns the dispatcher of a pool, or ``None`` if the pool is unknown here.
    """

    def __init__(self, server: PeerServer, dispatcher: Callable[[str], Dispatcher | None]) -> None:
        self._dispatcher = dispatcher
        server.handle(PoolSlotRequest, self._serve)

    async def _serve(self, request: PoolSlotRequest, reply: Reply) -> None:
        dispatcher = self._dispatcher(request.pool)
        if dispatcher is None:
            detail = f"pool {request.pool} is not dispatched by this node"
            await reply.fail(Failure(ErrorKind.OWNER_UNAVAILABLE, detail))
            return
        async with dispatcher.slot(request.request) as result:
            if isinstance(result, Err):
                await reply.send(_refusal(result.err_value, dispatcher.pool_load()))
                return
            slot = result.ok_value
            try:
                await reply.send(PoolSlotAnswer(slot.granted, dispatcher.pool_load()))
                await _wait_for_report(reply, slot)
            finally:
                _apply_late_report(reply, slot)


def _refusal(failure: Failure, load: PoolNews) -> PoolSlotAnswer:
    return PoolSlotAnswer(None, load, failure.kind.value, failure.detail, failure.retry_after_s)


async def _wait_for_report(reply: Reply, slot: Slot) -> None:
    """Wait until the holder reports or its heartbeats stop."""
    while True:
        item = None
        with anyio.move_on_after(HEARTBEAT_TIMEOUT_S):
            item = await reply.receive()
        if isinstance(item, SlotFinished):
            slot.finish(item)
            return
        if item is None:
            return


def _apply_late_report(reply: Reply, slot: Slot) -> None:
    """Apply a report that arrived together with the end of the call."""
    for item in reply.receive_pending():
        if isinstance(item, SlotFinished):
            slot.finish(item)


@final
class RemoteScheduler:
    """Requests slots from the dispatchers of pools on other nodes.

    :param locate: returns the peer address of a pool's dispatcher, or ``None`` if there is none.
    :param on_load: called with the pool's load from each answer.
    """

    def __init__(
        self,
        client: PeerClient,
        *,
        locate: Callable[[str], str | None],
        on_load: Callable[[PoolNews], None],
    ) -> None:
        self._client = client
        self._locate = locate
        self._on_load = on_load
        self._open_calls: set[PeerCall] = set()

    @asynccontextmanager
    async def slot(self, pool: str, request: SlotRequest) -> AsyncIterator[Result[Slot, Failure]]:
        """Wait for a slot of a pool; an ``Err`` means that the call did not run."""
        address = self._locate(pool)
        if address is None:
            yield Err(Failure(ErrorKind.OVERLOADED, f"no node dispatches pool {pool}"))
            return
        async with self._client.stream(address, PoolSlotRequest(pool, request)) as opened:
            if isinstance(opened, Err):
                yield opened
                return
            answer = await self._answer(opened.ok_value, address, request)
            if isinstance(answer, Err):
                yield answer
                return
            slot = GrantedSlot(answer.ok_value)
            self._open_calls.add(opened.ok_value)
            try:
                yield Ok(slot)
            finally:
                self._open_calls.discard(opened.ok_value)
                await _send_report(opened.ok_value, slot)

    async def run_heartbeats(self) -> None:
        """Send heartbeats for the held slots until cancelled."""
        while True:
            await anyio.sleep(HEARTBEAT_S)
            for call in list(self._open_calls):
                await call.send(SlotHeld())

    async def _answer(
        self, call: PeerCall, address: str, request: SlotRequest
    ) -> Result[SlotGranted, Failure]:
        answer: Result[PoolSlotAnswer, Failure] | None = None
        with anyio.move_on_after(request.deadline_s + ANSWER_GRACE_S):
            answer = await first_answer(call, address)
        if answer is None:
            detail = f"no answer from {address} within the call's deadline"
            return Err(Failure(ErrorKind.OWNER_UNAVAILABLE, detail))
        if isinstance(answer, Err):
            return answer
        self._on_load(answer.ok_value.load)
        granted = answer.ok_value.granted
        if granted is None:
            return Err(_failure_of(answer.ok_value))
        return Ok(granted)


def _failure_of(answer: PoolSlotAnswer) -> Failure:
    return Failure(ErrorKind(answer.failure), answer.detail, answer.retry_after_s)


async def _send_report(call: PeerCall, slot: GrantedSlot) -> None:
    if slot.report is None:
        return
    with anyio.move_on_after(REPORT_TIMEOUT_S, shield=True):
        await call.send(slot.report)
