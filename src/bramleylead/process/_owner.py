"""Serves the programs of the partitions that this node owns."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any
from typing import NamedTuple
from typing import final

import anyio
from anyio.abc import TaskGroup
from result import Err
from result import Ok
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.process import _admission
from bramleylead.process._entries import CallFinished
from bramleylead.process._entries import ChildOpened
from bramleylead.process._entries import ProgramEnded
from bramleylead.process._entries import ProgramOpened
from bramleylead.process._log import PartitionLog
from bramleylead.process._model_run import ModelRun
from bramleylead.process._parts import OwnerParts
from bramleylead.process._place import partition_of
from bramleylead.process._run import CallRun
from bramleylead.process._run import RunningCall
from bramleylead.process._state import CallRecord
from bramleylead.process._state import CallStatus
from bramleylead.process._state import ProgramState
from bramleylead.process._tool_run import ToolRun
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
from bramleylead.version import Branch
from bramleylead.version import ProgramKind

ENDED_BY_CALLER = "ended by its caller"


class _Rules(NamedTuple):
    """What the configuration in force says about one program."""

    branch: Branch
    kind: ProgramKind


@final
class ProgramOwner:
    """Opens, runs, reads and ends programs; one instance a node.

    :param tasks: running calls live here, so that they outlast the caller's connection.
    """

    def __init__(self, parts: OwnerParts, tasks: TaskGroup) -> None:
        self._parts = parts
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
        found = await self._confirmed(request.program)
        if isinstance(found, Err):
            return found
        log = found.ok_value
        program = log.state.programs.get(request.program)
        if program is not None:
            return self._same_program(program, request)
        rules = self._rules(request.branch, request.kind)
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
        found = await self._program(request.branch, request.program)
        if isinstance(found, Err):
            return found
        log, program = found.ok_value
        confirmed = await log.append()
        if isinstance(confirmed, Err):
            return confirmed
        return Ok(view(program, history=request.history)._replace(durable=confirmed.ok_value))

    async def end(self, request: EndProgram) -> Result[ProgramView, Failure]:
        """End a program: its model call is cancelled, and no further call starts."""
        found = await self._program(request.branch, request.program)
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
        found = await self._program(request.branch, request.program)
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
        found = await self._program(request.branch, request.program)
        if isinstance(found, Err):
            yield self._lost_or(found.err_value, request)
            return
        log, program = found.ok_value
        target = self._target(program, request)
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
        found = self._partition(request.program)
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
        found = await self._program(request.branch, request.program)
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
                    ended = await log.append(self._unknown_end(program, record.number))
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
        log = self._partition(name)
        program = log.ok_value.state.programs.get(name) if isinstance(log, Ok) else None
        record = None if program is None else program.calls.get(number)
        running = self._running.get(name, {}).get(number)
        if record is None and running is None:
            return None
        return {
            "running": running is not None,
            "endpoint": running.endpoint if running is not None else "",
            "avoided": list(running.avoid) if running is not None else [],
            **({} if record is None else _plain_record(record)),
        }

    def _start_or_join(
        self,
        log: PartitionLog,
        program: ProgramState,
        request: CallRequest,
        target: _Target,
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
        target: _Target,
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
            await call.log.append(self._cancelled_end(call))
        return Failure(ErrorKind.CANCELLED, f"{call.name}: its program was ended")

    def _cancelled_end(self, call: RunningCall) -> CallFinished:
        record = call.program.calls[call.number]
        return CallFinished(
            program=call.program.program,
            number=call.number,
            status=CallStatus.FAILED.value,
            answer="cancelled",
            value=None,
            finish="",
            prompt_tokens=0,
            cached_tokens=0,
            output_tokens=0,
            endpoint=call.endpoint,
            spent=record.reserved,
            at_s=self._parts.wall_clock(),
        )

    def _unknown_end(self, program: ProgramState, number: int) -> CallFinished:
        record = program.calls[number]
        detail = (
            f"call {program.program}/{number} of {record.target} was sent by a former owner and "
            "its outcome is not known; it will not be sent again"
        )
        return CallFinished(
            program=program.program,
            number=number,
            status=CallStatus.UNKNOWN.value,
            answer=detail,
            value=None,
            finish="",
            prompt_tokens=0,
            cached_tokens=0,
            output_tokens=0,
            endpoint="",
            spent=record.reserved,
            at_s=self._parts.wall_clock(),
        )

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
            return await log.append(self._unknown_end(program, number))
        return await log.append()

    def _digests(self, program: str) -> dict[int, str]:
        return {number: call.digest for number, call in self._running.get(program, {}).items()}

    def _partition(self, program: str) -> Result[PartitionLog, Failure]:
        number = partition_of(program, self._parts.settings.partitions.count)
        log = self._parts.directory.log(number)
        if log is None:
            detail = f"{self._parts.settings.node} does not own partition {number}"
            return Err(Failure(ErrorKind.OWNER_UNAVAILABLE, detail))
        return Ok(log)

    async def _confirmed(self, program: str) -> Result[PartitionLog, Failure]:
        """Return a program's partition once the second copy has confirmed this owner.

        A former owner that was paused still has a state, but must not answer from it.
        """
        found = self._partition(program)
        if isinstance(found, Err) or found.ok_value.may_act():
            return found
        confirmed = await found.ok_value.append()
        if isinstance(confirmed, Err):
            return confirmed
        return self._partition(program)

    async def _program(
        self, branch: str, name: str
    ) -> Result[tuple[PartitionLog, ProgramState], Failure]:
        found = await self._confirmed(name)
        if isinstance(found, Err):
            return found
        program = found.ok_value.state.programs.get(name)
        if program is None:
            return Err(Failure(ErrorKind.UNKNOWN_PROGRAM, f"there is no program {name}"))
        if program.branch != branch:
            detail = f"program {name} belongs to another branch"
            return Err(Failure(ErrorKind.FORBIDDEN, detail))
        return Ok((found.ok_value, program))

    def _rules(self, branch: str, kind: str) -> Result[_Rules, Failure]:
        config = self._parts.tickets.config
        branch_entry = config.branches.get(branch)
        if branch_entry is None:
            return Err(Failure(ErrorKind.UNKNOWN_BRANCH, f"there is no branch {branch}"))
        kind_entry = config.program_kinds.get(kind)
        if kind_entry is None or kind not in branch_entry.program_kinds:
            allowed = ", ".join(branch_entry.program_kinds) or "none"
            detail = f"branch {branch} may run {allowed}, not {kind}"
            return Err(Failure(ErrorKind.UNKNOWN_TARGET, detail))
        return Ok(_Rules(branch_entry, kind_entry))

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

    def _target(self, program: ProgramState, request: CallRequest) -> _Target | Failure:
        rules = self._rules(program.branch, program.kind)
        if isinstance(rules, Err):
            return rules.err_value
        kind = rules.ok_value.kind
        if request.call_kind is CallKind.MODEL:
            if request.target in kind.models:
                return _Target(rules.ok_value, repeatable=True)
            allowed = ", ".join(kind.models)
        else:
            tool = kind.tools.get(request.target)
            if tool is not None:
                return _Target(rules.ok_value, repeatable=tool.repeatable)
            allowed = ", ".join(kind.tools)
        detail = f"program kind {program.kind} may call {allowed or 'nothing'}"
        return Failure(ErrorKind.UNKNOWN_TARGET, f"{detail}, not {request.target}")


class _Target(NamedTuple):
    """What a call runs on, checked against the configuration."""

    rules: _Rules
    repeatable: bool


def _plain_record(record: CallRecord) -> dict[str, Any]:
    shown = ("status", "call_kind", "target", "repeatable", "finish", "spent", "reserved")
    counts = ("prompt_tokens", "cached_tokens", "output_tokens")
    plain = {name: getattr(record, name) for name in (*shown, *counts)}
    return {**plain, "endpoint": record.endpoint} if record.endpoint else plain


def view(program: ProgramState, *, history: bool) -> ProgramView:
    """Return a program's state as its caller may see it."""
    calls = tuple(
        (call.number, call.call_kind.value, call.target, call.status.value, call.answer)
        for call in program.calls.values()
    )
    return ProgramView(
        program=program.program,
        branch=program.branch,
        kind=program.kind,
        parent=program.parent,
        incarnation=program.incarnation,
        next_number=program.last_number + 1,
        tokens_used=program.tokens_used,
        ended=program.ended,
        messages=tuple(program.messages) if history else (),
        calls=calls if history else (),
    )
