"""Routes requests to the owner of their program, and retries them when the owner changes."""

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
from bramleylead.process.journal._partition_log import PartitionDirectory
from bramleylead.process.partitions._partition_hash import partition_of
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

INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.25
PROGRAM_REQUEST_TIMEOUT_S = 10.0
PEER_TIMEOUT_S = 3.0
OWNER_CHANGE_ERRORS = frozenset(
    {ErrorKind.OWNER_UNAVAILABLE, ErrorKind.OWNER_LOST, ErrorKind.NOT_DURABLE, ErrorKind.STOPPING}
)

ProgramRequest = OpenProgram | ReadProgram | EndProgram | AddChild
AnswerRequest = CallRequest | ResumeCall


class _DeliveredAnswer:
    """Tracks the part of an answer that a caller has received, so that it is only ever extended."""

    def __init__(self, offset: int) -> None:
        self._initial_offset = offset
        self._text = ""
        self.maybe_ran = False
        self.started = False

    @property
    def offset(self) -> int:
        """Position in the whole answer up to which the caller has received it."""
        return self._initial_offset + len(self._text)

    def undelivered_part(self, chunk: AnswerChunk) -> AnswerChunk | None:
        """Return the part of a chunk that the caller has not received.

        Returns ``None`` if the chunk contradicts the delivered text or leaves a gap after it.
        """
        start = chunk.offset - self._initial_offset
        delivered = self._text[max(0, start) : start + len(chunk.text)]
        if start > len(self._text) or not chunk.text.startswith(delivered):
            return None
        new_text = chunk.text[len(delivered) :]
        new_chunk = AnswerChunk(self.offset, new_text, chunk.tokens if new_text else 0)
        self._text += new_text
        return new_chunk


@final
class ProgramRouter:
    """Sends requests to the local or a remote owner, and serves the requests of other nodes."""

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
        """Serve requests that the routers of other nodes forward to this node."""
        for message_class in (OpenProgram, ReadProgram, EndProgram, AddChild):
            server.handle(message_class, self._serve_program_request)
        for message_class in (CallRequest, ResumeCall):
            server.handle(message_class, self._serve_answer)

    async def execute(self, request: ProgramRequest) -> Result[ProgramView, Failure]:
        """Execute a short request at the program's owner, retrying while the owner changes."""
        deadline = anyio.current_time() + PROGRAM_REQUEST_TIMEOUT_S
        backoff_s = INITIAL_BACKOFF_S
        while True:
            result = await self._execute_once(request)
            if isinstance(result, Ok) or result.err_value.kind not in OWNER_CHANGE_ERRORS:
                return result
            if anyio.current_time() + backoff_s >= deadline:
                return result
            await anyio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def stream_answer(self, request: AnswerRequest) -> AsyncIterator[CallItem]:
        """Yield an answer and its outcome, sending the request again when the owner changes."""
        deadline = anyio.current_time() + request.deadline_s
        delivered = _DeliveredAnswer(request.offset if isinstance(request, ResumeCall) else 0)
        backoff_s = INITIAL_BACKOFF_S
        while True:
            failure: Failure | None = None
            seconds_left = deadline - anyio.current_time()
            attempt = request._replace(deadline_s=max(seconds_left, 0.0))
            async with aclosing(self._answer_once(attempt)) as items:
                async for item in items:
                    if isinstance(item, Failure):
                        failure = item
                        break
                    undelivered = self._undelivered_item(item, delivered)
                    if undelivered is not None:
                        yield undelivered
                    if isinstance(undelivered, AnswerEnd | Failure):
                        return
            failure = failure or _owner_lost(request)
            delivered.maybe_ran |= failure.kind is ErrorKind.OWNER_LOST
            if (
                failure.kind not in OWNER_CHANGE_ERRORS
                or anyio.current_time() + backoff_s >= deadline
            ):
                yield _without_false_not_run(failure, delivered)
                return
            self.owner_changes += 1
            await anyio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    def _undelivered_item(self, item: CallItem, delivered: _DeliveredAnswer) -> CallItem | None:
        if isinstance(item, AnswerStart):
            is_first, delivered.started = not delivered.started, True
            return item if is_first else None
        if isinstance(item, AnswerChunk):
            chunk = delivered.undelivered_part(item)
            if chunk is None:
                detail = (
                    "the answer changed after part of it was sent; read it again from the start"
                )
                return Failure(ErrorKind.ENDPOINT_FAILED, detail)
            return chunk if chunk.text else None
        self._promises.check(
            Promise.WHOLE_ANSWER,
            item.length == delivered.offset,
            f"answer {item.number}: {delivered.offset} of {item.length} characters were delivered",
        )
        return item

    async def _execute_once(self, request: ProgramRequest) -> Result[ProgramView, Failure]:
        partition = self._partition(request.program)
        if self._directory.log(partition) is not None:
            return await self._execute_locally(request)
        address = self._directory.owner_address(partition)
        if address is None:
            return Err(_no_owner(partition))
        result = await self._client.request(address, request, timeout_s=PEER_TIMEOUT_S)
        if isinstance(result, Err) and result.err_value.kind in OWNER_CHANGE_ERRORS:
            self._directory.forget_owner(partition, address)
        return result

    async def _execute_locally(self, request: ProgramRequest) -> Result[ProgramView, Failure]:
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
                    if failure.kind in OWNER_CHANGE_ERRORS:
                        self._directory.forget_owner(partition, address)
                    yield failure
                    return
                yield item
                if isinstance(item, AnswerEnd):
                    return
        self._directory.forget_owner(partition, address)
        yield _owner_lost(request)

    async def _serve_program_request(self, request: ProgramRequest, reply: Reply) -> None:
        result = await self._execute_locally(request)
        if isinstance(result, Err):
            await reply.fail(result.err_value)
        else:
            await reply.send(result.ok_value)

    async def _serve_answer(self, request: AnswerRequest, reply: Reply) -> None:
        """Stream an answer to another node, with tokens already batched by the engine's stream."""
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


def _owner_lost(request: AnswerRequest) -> Failure:
    detail = f"program {request.program}: lost the owner while the call may have been running"
    return Failure(ErrorKind.OWNER_LOST, detail)


def _without_false_not_run(failure: Failure, delivered: _DeliveredAnswer) -> Failure:
    """Replace a "not run" failure if an earlier owner was lost while it may have run the call."""
    if delivered.maybe_ran and failure.answer.ran is Ran.NOT_RUN:
        return Failure(ErrorKind.OWNER_LOST, failure.detail, failure.retry_after_s)
    return failure
