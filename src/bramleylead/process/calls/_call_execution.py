"""Runs a call to its end and reports the end to the call's readers and to the metrics."""

from __future__ import annotations

from collections.abc import Callable
from typing import final

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.process._owner_dependencies import OwnerDependencies
from bramleylead.process.calls._model_run import ModelRun
from bramleylead.process.calls._outcome_entries import cancelled_entry
from bramleylead.process.calls._run import CallRun
from bramleylead.process.calls._running_call import RunningCall
from bramleylead.process.calls._tool_run import ToolRun
from bramleylead.promises import Promise
from bramleylead.request import AnswerEnd
from bramleylead.request import CallKind


@final
class CallExecution:
    """Runs the calls of a node.

    :param on_stopped: called when a call no longer runs, before its readers get its end.
    """

    def __init__(
        self, parts: OwnerDependencies, *, on_stopped: Callable[[RunningCall], None]
    ) -> None:
        self._parts = parts
        self._on_stopped = on_stopped

    async def run(self, call: RunningCall) -> None:
        """Run a call, whose scope may be cancelled, and finish its answer."""
        run: CallRun
        if call.request.call_kind is CallKind.MODEL:
            run = ModelRun(self._parts, call)
        else:
            run = ToolRun(self._parts, call)
        kind = {"kind": call.request.call_kind.value}
        self._parts.metrics.calls_running.inc(kind)
        end: AnswerEnd | Failure | None = None
        try:
            with call.scope:
                end = await run.run()
            if end is None:
                end = await self._journal_cancellation(call)
        finally:
            self._parts.metrics.calls_running.dec(kind)
            self._on_stopped(call)
            call.buffer.finish(end or Failure(ErrorKind.OWNER_LOST, f"{call.name} was interrupted"))
        result = end.kind.value if isinstance(end, Failure) else "done"
        self._parts.metrics.calls.inc({**kind, "result": result})
        if isinstance(end, AnswerEnd):
            self._check_answer_length(call, end)

    def _check_answer_length(self, call: RunningCall, end: AnswerEnd) -> None:
        journaled_answer = call.program.calls[call.number].answer
        self._parts.promises.check(
            Promise.WHOLE_ANSWER,
            end.length == call.buffer.length == len(journaled_answer),
            f"{call.name}: {call.buffer.length} characters sent, {len(journaled_answer)} journaled",
        )

    async def _journal_cancellation(self, call: RunningCall) -> Failure:
        """Journal the outcome of a call cancelled on this node, if the node still owns it."""
        owned = self._parts.directory.log(call.log.number) is call.log
        if not owned:
            return Failure(ErrorKind.OWNER_LOST, f"{call.name}: the partition has a new owner")
        if call.intent_journaled:
            await call.log.append(
                cancelled_entry(
                    call.program,
                    call.number,
                    endpoint=call.endpoint,
                    now_s=self._parts.wall_clock(),
                )
            )
        return Failure(ErrorKind.CANCELLED, f"{call.name}: its program was ended")
