"""Relays one answer to its caller: deadline, caller disconnects and keep-alives."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager

import anyio
import structlog
from anyio.abc import CancelScope
from result import Err
from result import Ok
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.metrics import Metrics
from bramleylead.request._answer_assembler import AnswerAssembler
from bramleylead.request._http_routes import HttpRequest
from bramleylead.request._http_sinks import AnswerSink
from bramleylead.request._messages import AnswerEnd
from bramleylead.request._service import CallItem

DEADLINE_GRACE_S = 2.0
"""The owner ends a call at its deadline; the entry node waits this much longer for its result."""

CALLER_DISCONNECTED = Failure(
    ErrorKind.CANCELLED, "the caller closed the connection; the call continues"
)

log = structlog.get_logger()

AnswerStream = AbstractAsyncContextManager[AsyncIterator[CallItem]]


async def relay_answer(
    request: HttpRequest,
    answer_stream: AnswerStream,
    sink: AnswerSink,
    *,
    deadline_s: float,
    offset: int = 0,
) -> Result[None, Failure]:
    """Relay an answer to a sink until its end.

    If the caller disconnects, the relay stops, but the owner continues the call and journals it.
    """
    assembler = AnswerAssembler(request.service.promises, request.call_ref, offset=offset)
    metrics = request.service.metrics
    disconnected = True
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(_cancel_on_disconnect, request, task_group.cancel_scope)
        task_group.start_soon(sink.keep_alive)
        await _collect_answer(answer_stream, assembler, sink, deadline_s=deadline_s)
        disconnected = False
        task_group.cancel_scope.cancel()
    if disconnected:
        metrics.callers_gone.inc({})
        return Err(CALLER_DISCONNECTED)
    outcome = assembler.outcome
    if assembler.first_text_s is not None:
        metrics.first_token_seconds.observe({}, assembler.first_text_s)
    if isinstance(outcome, AnswerEnd):
        _count_tokens(metrics, outcome)
        await sink.finish(outcome)
        return Ok(None)
    return await sink.fail(outcome, assembler.offset)


def _count_tokens(metrics: Metrics, end: AnswerEnd) -> None:
    metrics.tokens.add({"kind": "prompt"}, end.prompt_tokens)
    metrics.tokens.add({"kind": "cached"}, end.cached_tokens)
    metrics.tokens.add({"kind": "output"}, end.output_tokens)


async def _cancel_on_disconnect(request: HttpRequest, scope: CancelScope) -> None:
    await request.exchange.wait_disconnected()
    scope.cancel()


async def _collect_answer(
    answer_stream: AnswerStream, assembler: AnswerAssembler, sink: AnswerSink, *, deadline_s: float
) -> None:
    with anyio.move_on_after(deadline_s + DEADLINE_GRACE_S) as deadline_scope:
        try:
            await _relay_items(answer_stream, assembler, sink)
        except Exception:
            log.exception("answer_failed")
            assembler.end = Failure(ErrorKind.INTERNAL, "an unexpected error ended the answer")
    if deadline_scope.cancelled_caught and assembler.end is None:
        detail = f"no result within the deadline of {deadline_s:g} s: the call may still be running"
        assembler.end = Failure(ErrorKind.OUTCOME_UNKNOWN, detail)


async def _relay_items(
    answer_stream: AnswerStream, assembler: AnswerAssembler, sink: AnswerSink
) -> None:
    async with answer_stream as items:
        async for item in items:
            offset = assembler.offset
            text = assembler.add(item)
            if text:
                await sink.write(text, offset)
            if assembler.end is not None:
                return
