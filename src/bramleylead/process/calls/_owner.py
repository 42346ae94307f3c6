"""Serves the programs of the partitions that this node owns."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any
from typing import final

import anyio
from anyio.abc import TaskGroup
from result import Err
from result import Ok
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.process._parts import OwnerParts
from bramleylead.process.calls import _admission
from bramleylead.process.calls._call_ends import cancelled_end
from bramleylead.process.calls._call_ends import unknown_end
from bramleylead.process.calls._lookup import ProgramLookup
from bramleylead.process.calls._lookup import Target
from bramleylead.process.calls._model_run import ModelRun
from bramleylead.process.calls._run import CallRun
from bramleylead.process.calls._run import RunningCall
from bramleylead.process.calls._tool_run import ToolRun
from bramleylead.process.calls._views import plain_record
from bramleylead.process.calls._views import view
from bramleylead.process.journal._entries import ChildOpened
from bramleylead.process.journal._entries import ProgramEnded
from bramleylead.process.journal._entries import ProgramOpened
from bramleylead.process.journal._log import PartitionLog
from bramleylead.process.journal._state import CallStatus
from bramleylead.process.journal._state import ProgramState
from bramleylead.promises import Promise
from bramleylead.request import AddChild
from bramleylead.request import AnswerBuffer
from bramleylead.request import AnswerChunk
from bramleylead.request import AnswerEnd
from bramleylead.request import AnswerStart
from bramleylead.request import CallItem
from bramleylead.request import CallKind
from bramleylead.request import CallRequest
from bramleylead.request import EndProgram
from bramleylead.request import OpenProgram
from bramleylead.request import ProgramView
from bramleylead.request import ReadProgram
from bramleylead.request import ResumeCall

ENDED_BY_CALLER = "ended by its caller"


@final
class ProgramOwner:
    """Opens, runs, reads and ends programs; one instance a node.

    :param tasks: running calls live here, so that they outlast the caller's connection.
    """

    def __init__(self, parts: OwnerParts, tasks: TaskGroup) -> None:
        self._parts = parts
        self._lookup = ProgramLookup(parts)
        self._tasks = tasks
        self._running: dict[str, dict[int, RunningCall]] = {}
        self._idle = anyio.Event()
        self._closing = False

    @property
    def running_calls(self) -> int:
        """Calls that run on this node."""
        return sum(len(calls) for calls in self._running.values())

    def is_running(self, program: str) -> bool:
        """Whether a call of the program runs on this node."""
        return program in self._running

    def is_idle(self, partition: int) -> bool:
        """Whether no call of a partition runs on this node."""
        return not any(
            call.log.number == partition
            for calls in self._running.values()
            for call in calls.values()
        )

    def begin_close(self) -> None:
        """Start no further call here; entries ask the partitions' next owners."""
        self._closing = True

    async def open(self, request: OpenProgram) -> Result[ProgramView, Failure]:
        """Open a program; the same one again returns what there is."""
        found = await self._lookup.confirmed(request.program)
        if isinstance(found, Err):
            return found
        log = found.ok_value
        program = log.state.programs.get(request.program)
        if program is not None:
            return self._same_program(program, request)
        rules = self._lookup.rules(request.branch, request.kind)
        if isinstance(rules, Err):
            return rules
        opened = ProgramOpened(
            program=request.program,
            branch=request.branch,
            kind=request.kind,
            parent=request.parent,
            at_s=self._parts.wall_clock(),
            attained=request.attained,
        )
        journaled = await log.append(opened)
        if isinstance(journaled, Err):
            return journaled
        budget = rules.ok_value.branch.budget
        self._tasks.start_soon(self._parts.escrow.prefetch, log, budget)
        opened_view = view(log.state.programs[request.program], history=False)
        return Ok(opened_view._replace(durable=journaled.ok_value))

    async def read(self, request: ReadProgram) -> Result[ProgramView, Failure]:
        """Return a program's state, once the second copy confirmed this owner."""
        found = await self._lookup.program(request.branch, request.program)
        if isinstance(found, Err):
            return found
        log, program = found.ok_value
        confirmed = await log.append()
        if isinstance(confirmed, Err):
            return confirmed
        return Ok(view(program, history=request.history)._replace(durable=confirmed.ok_value))

    async def end(self, request: EndProgram) -> Result[ProgramView, Failure]:
        """End a program: its model call is cancelled, and no further call starts."""
        found = await self._lookup.program(request.branch, request.program)
        if isinstance(found, Err):
            return found
        log, program = found.ok_value
        if not program.ended:
            entry = ProgramEnded(program.program, ENDED_BY_CALLER, self._parts.wall_clock())
            journaled = await log.append(entry)
            if isinstance(journaled, Err):
                return journaled
        for call in self._running.get(program.program, {}).values():
            if call.request.call_kind is CallKind.MODEL:
                call.scope.cancel()
        return Ok(view(program, history=False))

    async def add_child(self, request: AddChild) -> Result[ProgramView, Failure]:
        """Note a sub-agent program under its parent."""
        found = await self._lookup.program(request.branch, request.program)
        if isinstance(found, Err):
            return found
        log, program = found.ok_value
        if program.ended:
            detail = f"program {program.program} ended: {program.ended}"
            return Err(Failure(ErrorKind.PROGRAM_ENDED, detail))
        journaled = await log.append(ChildOpened(program.program, request.child))
        if isinstance(journaled, Err):
            return journaled
        return Ok(view(program, history=False))

    async def call(self, request: CallRequest) -> AsyncIterator[CallItem]:
        """Run, join or look up a call; yields its answer and its end."""
        found = await self._lookup.program(request.branch, request.program)
        if isinstance(found, Err):
            yield self._lost_or(found.err_value, request)
            return
        log, program = found.ok_value
        target = self._lookup.target(program, request)
        if isinstance(target, Failure):
            yield target
            return
        decision = _admission.decide(
            program,
            request,
            repeatable=target.repeatable,
            running=self._digests(program.program),
        )
        if isinstance(decision, Failure):
            yield decision
        elif isinstance(decision, _admission.Recorded):
            async for item in self._recorded(log, program, decision.record.number, 0):
                yield item
        else:
            started = self._start_or_join(log, program, request, target, decision)
            if isinstance(started, Failure):
                yield started
                return
            async for item in started.read(0):
                yield item

    def _lost_or(self, failure: Failure, request: CallRequest) -> Failure:
        """Say so when a program is unknown since it may have been lost with both copies."""
        found = self._lookup.partition(request.program)
        if failure.kind is not ErrorKind.UNKNOWN_PROGRAM or isinstance(found, Err):
            return failure
        incarnation = found.ok_value.state.incarnation
        if not 0 < request.incarnation < incarnation:
            return failure
        detail = (
            f"program {request.program} is not known since both copies of its journal were lost; "
            f"its partition's incarnation is {incarnation}: open the program again"
        )
        if request.call_kind is CallKind.MODEL:
            return Failure(ErrorKind.HISTORY_ROLLED_BACK, detail)
        return Failure(ErrorKind.OUTCOME_UNKNOWN, detail)

    async def resume(self, request: ResumeCall) -> AsyncIterator[CallItem]:
        """Yield a call's answer from an offset, running or finished."""
        found = await self._lookup.program(request.branch, request.program)
        if isinstance(found, Err):
            yield found.err_value
            return
        log, program = found.ok_value
        running = self._running.get(program.program, {}).get(request.number)
        if running is not None:
            async for item in running.buffer.read(request.offset):
                yield item
            return
        if request.number not in program.calls:
            detail = f"program {program.program} has no call {request.number}"
            yield Failure(ErrorKind.OUT_OF_ORDER, detail)
            return
        length = len(program.calls[request.number].answer)
        if request.offset > length:
            detail = f"offset {request.offset}: the answer has {length} characters"
            yield Failure(ErrorKind.MALFORMED, detail)
            return
        async for item in self._recorded(log, program, request.number, request.offset):
            yield item

    def cancel_partition(self, partition: int) -> None:
        """Stop the calls of a partition that this node has lost."""
        for calls in self._running.values():
            for call in calls.values():
                if call.log.number == partition:
                    call.scope.cancel()

    async def settle_interrupted(self, log: PartitionLog) -> bool:
        """After a takeover, give calls that may not be repeated their final, unknown outcome.

        Returns whether the journal took every such end.
        """
        for program in list(log.state.programs.values()):
            for record in list(program.calls.values()):
                interrupted = record.status is CallStatus.INTENDED and not record.repeatable
                if interrupted and record.number not in self._digests(program.program):
                    ended = await log.append(
                        unknown_end(program, record.number, now_s=self._parts.wall_clock())
                    )
                    if isinstance(ended, Err):
                        return False
        return True

    async def wait_idle(self) -> None:
        """Wait until no call runs here."""
        while self._running:
            await self._idle.wait()

    def dump(self) -> list[dict[str, Any]]:
        """Return the running calls for the state dump."""
        return [
            {
                "call": call.name,
                "partition": call.log.number,
                "epoch": call.log.epoch,
                "target": call.request.target,
                "endpoint": call.endpoint,
                "intended": call.intended,
                "characters": call.buffer.length,
                "seconds_left": round(call.seconds_left, 3),
            }
            for calls in self._running.values()
            for call in calls.values()
        ]

    def describe(self, name: str, number: int) -> dict[str, Any] | None:
        """Return what this owner knows of a call, without its content; ``None`` for no such call.

        :param name: its program.
        """
        log = self._lookup.partition(name)
        program = log.ok_value.state.programs.get(name) if isinstance(log, Ok) else None
        record = None if program is None else program.calls.get(number)
        running = self._running.get(name, {}).get(number)
        if record is None and running is None:
            return None
        return {
            "running": running is not None,
            "endpoint": running.endpoint if running is not None else "",
            "avoided": list(running.avoid) if running is not None else [],
            **({} if record is None else plain_record(record)),
        }

    def _start_or_join(
        self,
        log: PartitionLog,
        program: ProgramState,
        request: CallRequest,
        target: Target,
        decision: _admission.Start | _admission.Join,
    ) -> AnswerBuffer | Failure:
        if isinstance(decision, _admission.Join):
            return self._running[program.program][decision.number].buffer
        call = self._prepare(log, program, request, target, decision)
        if isinstance(call, Failure):
            return call
        self._running.setdefault(program.program, {})[call.number] = call
        self._tasks.start_soon(self._run, call)
        return call.buffer

    def _prepare(
        self,
        log: PartitionLog,
        program: ProgramState,
        request: CallRequest,
        target: Target,
        decision: _admission.Start,
    ) -> RunningCall | Failure:
        if self._closing:
            return Failure(ErrorKind.STOPPING, "the program's owner is stopping")
        if not self._parts.tickets.is_current():
            detail = "this node can't show that it has the latest ticket in force"
            return Failure(ErrorKind.NOT_CURRENT, detail)
        messages = _admission.new_messages(program, request)
        if isinstance(messages, Failure):
            return messages
        over = _admission.check_limits(
            program,
            target.rules.kind,
            prompt_tokens=program.context_tokens + _admission.estimate_tokens(messages),
            now_s=self._parts.wall_clock(),
        )
        if over is not None:
            return over
        return RunningCall(
            log=log,
            program=program,
            branch=target.rules.branch,
            kind=target.rules.kind,
            request=request,
            number=decision.number,
            digest=decision.digest,
            repeatable=target.repeatable,
            messages=messages,
            deadline_at=anyio.current_time() + request.deadline_s,
            history_length=len(program.messages),
            again=decision.again,
        )

    async def _run(self, call: RunningCall) -> None:
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
                end = await self._cancelled(call)
        finally:
            self._parts.metrics.calls_running.dec(kind)
            self._forget(call)
            call.buffer.finish(end or Failure(ErrorKind.OWNER_LOST, f"{call.name} was cut off"))
        result = end.kind.value if isinstance(end, Failure) else "done"
        self._parts.metrics.calls.inc({**kind, "result": result})
        if isinstance(end, AnswerEnd):
            self._check_whole(call, end)

    def _check_whole(self, call: RunningCall, end: AnswerEnd) -> None:
        kept = call.program.calls[call.number].answer
        self._parts.promises.check(
            Promise.WHOLE_ANSWER,
            end.length == call.buffer.length == len(kept),
            f"{call.name}: {call.buffer.length} characters sent, {len(kept)} journaled",
        )

    async def _cancelled(self, call: RunningCall) -> Failure:
        """Journal the end of a call that was cancelled here, if this node still owns it."""
        owned = self._parts.directory.log(call.log.number) is call.log
        if not owned:
            return Failure(ErrorKind.OWNER_LOST, f"{call.name}: the partition has a new owner")
        if call.intended:
            await call.log.append(
                cancelled_end(
                    call.program,
                    call.number,
                    endpoint=call.endpoint,
                    now_s=self._parts.wall_clock(),
                )
            )
        return Failure(ErrorKind.CANCELLED, f"{call.name}: its program was ended")

    def _forget(self, call: RunningCall) -> None:
        calls = self._running.get(call.program.program, {})
        if calls.get(call.number) is call:
            del calls[call.number]
        if not calls:
            self._running.pop(call.program.program, None)
        if not self._running:
            self._idle.set()
            self._idle = anyio.Event()

    async def _recorded(
        self, log: PartitionLog, program: ProgramState, number: int, offset: int
    ) -> AsyncIterator[CallItem]:
        """Yield a journaled answer once the second copy has confirmed this owner."""
        confirmed = await self._confirm_record(log, program, number)
        if isinstance(confirmed, Err):
            yield confirmed.err_value
            return
        record = program.calls[number]
        if record.status is CallStatus.INTENDED:
            detail = f"call {program.program}/{number} was interrupted by a change of owner"
            yield Failure(ErrorKind.OWNER_LOST, detail)
            return
        yield AnswerStart(number, program.incarnation)
        if record.status is CallStatus.DONE and offset < len(record.answer):
            yield AnswerChunk(offset, record.answer[offset:], record.output_tokens)
        yield _admission.recorded_end(program, record, durable=confirmed.ok_value)

    async def _confirm_record(
        self, log: PartitionLog, program: ProgramState, number: int
    ) -> Result[bool, Failure]:
        """Have the second copy confirm this owner before a record is shown.

        A call that may not be repeated and was interrupted gets its end first: told that its
        outcome is unknown, the caller goes on with the next number, which must be free by then.
        """
        record = program.calls[number]
        if record.status is CallStatus.INTENDED and not record.repeatable:
            return await log.append(unknown_end(program, number, now_s=self._parts.wall_clock()))
        return await log.append()

    def _digests(self, program: str) -> dict[int, str]:
        return {number: call.digest for number, call in self._running.get(program, {}).items()}

    def _same_program(
        self, program: ProgramState, request: OpenProgram
    ) -> Result[ProgramView, Failure]:
        if program.branch != request.branch:
            detail = f"program {program.program} belongs to another branch"
            return Err(Failure(ErrorKind.FORBIDDEN, detail))
        if (program.kind, program.parent) != (request.kind, request.parent):
            detail = f"program {program.program} was opened as {program.kind}"
            return Err(Failure(ErrorKind.DUPLICATE_MISMATCH, detail))
        return Ok(view(program, history=False))
