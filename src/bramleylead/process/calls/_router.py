"""The entry's side of a request: finds the owner and follows it when it changes."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import aclosing
from typing import Any
from typing import final

import anyio
from result import Err
from result import Ok
from result import Result

from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.connection import Reply
from bramleylead.connection._rpc import Failed
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.errors import Ran
from bramleylead.node_settings import NodeSettings
from bramleylead.process.calls._owner import ProgramOwner
from bramleylead.process.journal._log import PartitionDirectory
from bramleylead.process.partitions._place import partition_of
from bramleylead.promises import Promise
from bramleylead.promises import Promises
from bramleylead.request import AddChild
from bramleylead.request import AnswerChunk
from bramleylead.request import AnswerEnd
from bramleylead.request import AnswerStart
from bramleylead.request import CallItem
from bramleylead.request import CallRequest
from bramleylead.request import EndProgram
from bramleylead.request import OpenProgram
from bramleylead.request import ProgramView
from bramleylead.request import ReadProgram
from bramleylead.request import ResumeCall

FIRST_WAIT_S = 0.02
LONGEST_WAIT_S = 0.25
SHORT_REQUEST_S = 10.0
PEER_TIMEOUT_S = 3.0
ELSEWHERE = frozenset(
    {ErrorKind.OWNER_UNAVAILABLE, ErrorKind.OWNER_LOST, ErrorKind.NOT_DURABLE, ErrorKind.STOPPING}
)

ViewRequest = OpenProgram | ReadProgram | EndProgram | AddChild
AnswerRequest = CallRequest | ResumeCall


class _Delivery:
    """What one caller has got of an answer, so that it is continued and never changed."""

    def __init__(self, offset: int) -> None:
        self._first = offset
        self._text = ""
        self.maybe_ran = False
        self.started = False

    @property
    def offset(self) -> int:
        """Characters of the whole answer that the caller has."""
        return self._first + len(self._text)

    def fresh(self, chunk: AnswerChunk) -> AnswerChunk | None:
        """Return the part that the caller does not have, or ``None`` when the texts disagree."""
        start = chunk.offset - self._first
        known = self._text[max(0, start) : start + len(chunk.text)]
        if start > len(self._text) or not chunk.text.startswith(known):
            return None
        rest = chunk.text[len(known) :]
        taken = AnswerChunk(self.offset, rest, chunk.tokens if rest else 0)
        self._text += rest
        return taken


@final
class ProgramRouter:
    """Sends requests to owners, here or on other nodes, and serves those of other nodes."""

    def __init__(
        self,
        settings: NodeSettings,
        directory: PartitionDirectory,
        owner: ProgramOwner,
        client: PeerClient,
        promises: Promises,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._owner = owner
        self._client = client
        self._promises = promises
        self.owner_changes = 0

    def register(self, server: PeerServer) -> None:
        """Serve the requests of other nodes' entries."""
        for message_class in (OpenProgram, ReadProgram, EndProgram, AddChild):
            server.handle(message_class, self._serve_view)
        for message_class in (CallRequest, ResumeCall):
            server.handle(message_class, self._serve_answer)

    async def view(self, request: ViewRequest) -> Result[ProgramView, Failure]:
        """Carry out a short request at the program's owner, wherever it is by then."""
        deadline = anyio.current_time() + SHORT_REQUEST_S
        wait_s = FIRST_WAIT_S
        while True:
            result = await self._view_once(request)
            if isinstance(result, Ok) or result.err_value.kind not in ELSEWHERE:
                return result
            if anyio.current_time() + wait_s >= deadline:
                return result
            await anyio.sleep(wait_s)
            wait_s = min(2 * wait_s, LONGEST_WAIT_S)

    async def answer(self, request: AnswerRequest) -> AsyncIterator[CallItem]:
        """Yield an answer and its end, asking again when the owner changes on the way."""
        deadline = anyio.current_time() + request.deadline_s
        delivery = _Delivery(request.offset if isinstance(request, ResumeCall) else 0)
        wait_s = FIRST_WAIT_S
        while True:
            failure: Failure | None = None
            left = deadline - anyio.current_time()
            attempt = request._replace(deadline_s=max(left, 0.0))
            async with aclosing(self._answer_once(attempt)) as items:
                async for item in items:
                    if isinstance(item, Failure):
                        failure = item
                        break
                    passed = self._pass_on(item, delivery)
                    if passed is not None:
                        yield passed
                    if isinstance(passed, AnswerEnd | Failure):
                        return
            failure = failure or _lost(request)
            delivery.maybe_ran |= failure.kind is ErrorKind.OWNER_LOST
            if failure.kind not in ELSEWHERE or anyio.current_time() + wait_s >= deadline:
                yield _truthful(failure, delivery)
                return
            self.owner_changes += 1
            await anyio.sleep(wait_s)
            wait_s = min(2 * wait_s, LONGEST_WAIT_S)

    def _pass_on(self, item: CallItem, delivery: _Delivery) -> CallItem | None:
        if isinstance(item, AnswerStart):
            first, delivery.started = not delivery.started, True
            return item if first else None
        if isinstance(item, AnswerChunk):
            fresh = delivery.fresh(item)
            if fresh is None:
                detail = "the answer changed after part of it was sent; read it again"
                return Failure(ErrorKind.ENDPOINT_FAILED, detail)
            return fresh if fresh.text else None
        self._promises.check(
            Promise.WHOLE_ANSWER,
            item.length == delivery.offset,
            f"answer {item.number}: {delivery.offset} of {item.length} characters were delivered",
        )
        return item

    async def _view_once(self, request: ViewRequest) -> Result[ProgramView, Failure]:
        partition = self._partition(request.program)
        if self._directory.log(partition) is not None:
            return await self._local_view(request)
        address = self._directory.owner_address(partition)
        if address is None:
            return Err(_no_owner(partition))
        result = await self._client.request(address, request, timeout_s=PEER_TIMEOUT_S)
        if isinstance(result, Err) and result.err_value.kind in ELSEWHERE:
            self._directory.forget_owner(partition, address)
        return result

    async def _local_view(self, request: ViewRequest) -> Result[ProgramView, Failure]:
        handlers: dict[type, Callable[[Any], Awaitable[Result[ProgramView, Failure]]]] = {
            OpenProgram: self._owner.open,
            ReadProgram: self._owner.read,
            EndProgram: self._owner.end,
            AddChild: self._owner.add_child,
        }
        return await handlers[type(request)](request)

    def _answer_once(self, request: AnswerRequest) -> AsyncIterator[CallItem]:
        partition = self._partition(request.program)
        if self._directory.log(partition) is not None:
            return self._local_answer(request)
        return self._remote_answer(partition, request)

    def _local_answer(self, request: AnswerRequest) -> AsyncIterator[CallItem]:
        if isinstance(request, CallRequest):
            return self._owner.call(request)
        return self._owner.resume(request)

    async def _remote_answer(
        self, partition: int, request: AnswerRequest
    ) -> AsyncIterator[CallItem]:
        address = self._directory.owner_address(partition)
        if address is None:
            yield _no_owner(partition)
            return
        async with self._client.stream(address, request) as opened:
            if isinstance(opened, Err):
                self._directory.forget_owner(partition, address)
                yield opened.err_value
                return
            async for item in opened.ok_value:
                if isinstance(item, Failed):
                    failure = Failure(item.kind, item.detail, item.retry_after_s)
                    if failure.kind in ELSEWHERE:
                        self._directory.forget_owner(partition, address)
                    yield failure
                    return
                yield item
                if isinstance(item, AnswerEnd):
                    return
        self._directory.forget_owner(partition, address)
        yield _lost(request)

    async def _serve_view(self, request: ViewRequest, reply: Reply) -> None:
        result = await self._local_view(request)
        if isinstance(result, Err):
            await reply.fail(result.err_value)
        else:
            await reply.send(result.ok_value)

    async def _serve_answer(self, request: AnswerRequest, reply: Reply) -> None:
        """Stream an answer to another node; the engine's stream has gathered its tokens."""
        async with aclosing(self._local_answer(request)) as items:
            async for item in items:
                if isinstance(item, Failure):
                    await reply.fail(item)
                    return
                await reply.send(item)

    def _partition(self, program: str) -> int:
        return partition_of(program, self._settings.partitions.count)


def _no_owner(partition: int) -> Failure:
    return Failure(ErrorKind.OWNER_UNAVAILABLE, f"partition {partition} has no known owner")


def _lost(request: AnswerRequest) -> Failure:
    detail = f"program {request.program}: the owner was lost while the call may have been running"
    return Failure(ErrorKind.OWNER_LOST, detail)


def _truthful(failure: Failure, delivery: _Delivery) -> Failure:
    """Don't say "not run" when an earlier owner was lost with the call under way."""
    if delivery.maybe_ran and failure.answer.ran is Ran.NOT_RUN:
        return Failure(ErrorKind.OWNER_LOST, failure.detail, failure.retry_after_s)
    return failure
