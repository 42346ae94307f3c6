"""Follows one answer to its end: deadline, a caller that goes away, and signs of life."""

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
from bramleylead.request._gather import AnswerGatherer
from bramleylead.request._http_routes import HttpRequest
from bramleylead.request._http_sinks import AnswerSink
from bramleylead.request._messages import AnswerEnd
from bramleylead.request._service import CallItem

DEADLINE_GRACE_S = 2.0
"""The owner ends a call at its deadline; the entry waits a little longer for its word."""

GONE = Failure(ErrorKind.CANCELLED, "the caller closed the connection; the call goes on")

log = structlog.get_logger()

Answer = AbstractAsyncContextManager[AsyncIterator[CallItem]]


async def follow_answer(
    request: HttpRequest,
    answer: Answer,
    sink: AnswerSink,
    *,
    deadline_s: float,
    offset: int = 0,
) -> Result[None, Failure]:
    """Pass an answer to a sink until its end.

    A caller that goes away ends the wait, not the call: the call's journal goes on without it.
    """
    gatherer = AnswerGatherer(request.service.promises, request.place, offset=offset)
    metrics = request.service.metrics
    gone = True
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_caller, request, tasks.cancel_scope)
        tasks.start_soon(sink.keep_alive)
        await _gather(answer, gatherer, sink, deadline_s=deadline_s)
        gone = False
        tasks.cancel_scope.cancel()
    if gone:
        metrics.callers_gone.inc({})
        return Err(GONE)
    outcome = gatherer.outcome
    if gatherer.first_text_s is not None:
        metrics.first_token_seconds.observe({}, gatherer.first_text_s)
    if isinstance(outcome, AnswerEnd):
        _count_tokens(metrics, outcome)
        await sink.finish(outcome)
        return Ok(None)
    return await sink.fail(outcome, gatherer.offset)


def _count_tokens(metrics: Metrics, end: AnswerEnd) -> None:
    metrics.tokens.add({"kind": "prompt"}, end.prompt_tokens)
    metrics.tokens.add({"kind": "cached"}, end.cached_tokens)
    metrics.tokens.add({"kind": "output"}, end.output_tokens)


async def _watch_caller(request: HttpRequest, scope: CancelScope) -> None:
    await request.exchange.wait_gone()
    scope.cancel()


async def _gather(
    answer: Answer, gatherer: AnswerGatherer, sink: AnswerSink, *, deadline_s: float
) -> None:
    with anyio.move_on_after(deadline_s + DEADLINE_GRACE_S) as limit:
        try:
            await _pass_on(answer, gatherer, sink)
        except Exception:
            log.exception("answer_failed")
            gatherer.end = Failure(ErrorKind.INTERNAL, "an unexpected error ended the answer")
    if limit.cancelled_caught and gatherer.end is None:
        detail = f"no end within the deadline of {deadline_s:g} s: the call may go on"
        gatherer.end = Failure(ErrorKind.OUTCOME_UNKNOWN, detail)


async def _pass_on(answer: Answer, gatherer: AnswerGatherer, sink: AnswerSink) -> None:
    async with answer as items:
        async for item in items:
            offset = gatherer.offset
            text = gatherer.add(item)
            if text:
                await sink.write(text, offset)
            if gatherer.end is not None:
                return
