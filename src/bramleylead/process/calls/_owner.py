"""Serves the programs in the partitions that this node owns."""

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
from bramleylead.process._owner_dependencies import OwnerDependencies
from bramleylead.process.calls import _admission
from bramleylead.process.calls._call_execution import CallExecution
from bramleylead.process.calls._lookup import CallTarget
from bramleylead.process.calls._lookup import ProgramLookup
from bramleylead.process.calls._recorded_answers import RecordedAnswers
from bramleylead.process.calls._running_call import RunningCall
from bramleylead.process.calls._views import call_summary
from bramleylead.process.calls._views import program_view
from bramleylead.process.journal._entries import ChildOpened
from bramleylead.process.journal._entries import ProgramEnded
from bramleylead.process.journal._entries import ProgramOpened
from bramleylead.process.journal._partition_log import PartitionLog
from bramleylead.process.journal._state import ProgramState
from bramleylead.request import AddChild
from bramleylead.request import AnswerBuffer
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
    """Opens, reads and ends programs and runs their calls; each node has one instance.

    :param tasks: task group of the running calls, so that a call survives the loss of its caller's
        connection.
    """

    def __init__(self, parts: OwnerDependencies, tasks: TaskGroup) -> None:
        self._parts = parts
        self._lookup = ProgramLookup(parts)
        self._tasks = tasks
        self._running: dict[str, dict[int, RunningCall]] = {}
        self._idle_event = anyio.Event()
        self._stopping = False
        self._execution = CallExecution(parts, on_stopped=self._remove_running)
        self._recorded = RecordedAnswers(parts.wall_clock)

    @property
    def running_calls(self) -> int:
        """Number of calls running on this node."""
        return sum(len(calls) for calls in self._running.values())

    def is_running(self, program: str) -> bool:
        """Whether a call of the program is running on this node."""
        return program in self._running

    def is_idle(self, partition: int) -> bool:
        """Whether no call of a partition is running on this node."""
        return not any(
            call.log.number == partition
            for calls in self._running.values()
            for call in calls.values()
        )

    def stop_accepting_calls(self) -> None:
        """Reject new calls on this node; routers retry them at the partitions' next owners."""
        self._stopping = True

    async def open(self, request: OpenProgram) -> Result[ProgramView, Failure]:
        """Open a program; repeating the request returns the existing program."""
        found = await self._lookup.confirmed_partition(request.program)
        if isinstance(found, Err):
            return found
        log = found.ok_value
        program = log.state.programs.get(request.program)
        if program is not None:
            return self._existing_program(program, request)
        config = self._lookup.config(request.branch, request.kind)
        if isinstance(config, Err):
            return config
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
        budget = config.ok_value.branch.budget
        self._tasks.start_soon(self._parts.escrow.prefetch_grant, log, budget)
        created_view = program_view(log.state.programs[request.program], history=False)
        return Ok(created_view._replace(durable=journaled.ok_value))

    async def read(self, request: ReadProgram) -> Result[ProgramView, Failure]:
        """Return a program's state after the second copy has confirmed this owner."""
        found = await self._lookup.program(request.branch, request.program)
        if isinstance(found, Err):
            return found
        log, program = found.ok_value
        confirmed = await log.append()
        if isinstance(confirmed, Err):
            return confirmed
        return Ok(
            program_view(program, history=request.history)._replace(durable=confirmed.ok_value)
        )

    async def end(self, request: EndProgram) -> Result[ProgramView, Failure]:
        """End a program: cancel its model call and start no further calls."""
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
        return Ok(program_view(program, history=False))

    async def add_child(self, request: AddChild) -> Result[ProgramView, Failure]:
        """Journal a sub-agent program as a child of its parent."""
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
        return Ok(program_view(program, history=False))

    async def call(self, request: CallRequest) -> AsyncIterator[CallItem]:
        """Run or join a call, or read it from the journal; yield its answer and its outcome."""
        found = await self._lookup.program(request.branch, request.program)
        if isinstance(found, Err):
            yield self._lookup.explain_unknown_program(found.err_value, request)
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
            running=self._running_digests(program.program),
        )
        if isinstance(decision, Failure):
            yield decision
        elif isinstance(decision, _admission.Recorded):
            async for item in self._recorded.read(log, program, decision.record.number, 0):
                yield item
        else:
            started = self._start_or_join(log, program, request, target, decision)
            if isinstance(started, Failure):
                yield started
                return
            async for item in started.read(0):
                yield item

    async def resume(self, request: ResumeCall) -> AsyncIterator[CallItem]:
        """Yield the answer of a running or finished call from an offset."""
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
            detail = f"offset {request.offset} is past the end: the answer has {length} characters"
            yield Failure(ErrorKind.MALFORMED, detail)
            return
        async for item in self._recorded.read(log, program, request.number, request.offset):
            yield item

    def cancel_partition_calls(self, partition: int) -> None:
        """Cancel the calls of a partition that this node no longer owns."""
        for calls in self._running.values():
            for call in calls.values():
                if call.log.number == partition:
                    call.scope.cancel()

    async def finish_interrupted_calls(self, log: PartitionLog) -> bool:
        """Journal an unknown outcome for interrupted non-repeatable calls after a takeover.

        Returns whether all of these outcomes were journaled.
        """
        return await self._recorded.finish_interrupted(log, self._running_digests)

    async def wait_idle(self) -> None:
        """Wait until no call is running on this node."""
        while self._running:
            await self._idle_event.wait()

    def dump(self) -> list[dict[str, Any]]:
        """Return the running calls for the state dump."""
        return [
            {
                "call": call.name,
                "partition": call.log.number,
                "epoch": call.log.epoch,
                "target": call.request.target,
                "endpoint": call.endpoint,
                "intended": call.intent_journaled,
                "characters": call.buffer.length,
                "seconds_left": round(call.seconds_left, 3),
            }
            for calls in self._running.values()
            for call in calls.values()
        ]

    def describe_call(self, name: str, number: int) -> dict[str, Any] | None:
        """Return the state of a call without its content, or ``None`` if there is no such call.

        :param name: the call's program.
        """
        found = self._lookup.partition(name)
        program = found.ok_value.state.programs.get(name) if isinstance(found, Ok) else None
        record = None if program is None else program.calls.get(number)
        running = self._running.get(name, {}).get(number)
        if record is None and running is None:
            return None
        return {
            "running": running is not None,
            "endpoint": running.endpoint if running is not None else "",
            "avoided": list(running.avoided_endpoints) if running is not None else [],
            **({} if record is None else call_summary(record)),
        }

    def _start_or_join(
        self,
        log: PartitionLog,
        program: ProgramState,
        request: CallRequest,
        target: CallTarget,
        decision: _admission.Start | _admission.Join,
    ) -> AnswerBuffer | Failure:
        if isinstance(decision, _admission.Join):
            return self._running[program.program][decision.number].buffer
        call = self._prepare(log, program, request, target, decision)
        if isinstance(call, Failure):
            return call
        self._running.setdefault(program.program, {})[call.number] = call
        self._tasks.start_soon(self._execution.run, call)
        return call.buffer

    def _prepare(
        self,
        log: PartitionLog,
        program: ProgramState,
        request: CallRequest,
        target: CallTarget,
        decision: _admission.Start,
    ) -> RunningCall | Failure:
        if self._stopping:
            return Failure(ErrorKind.STOPPING, "the program's owner is stopping")
        if not self._parts.tickets.is_current():
            detail = "this node can't confirm that it has the latest ticket in force"
            return Failure(ErrorKind.NOT_CURRENT, detail)
        messages = _admission.new_messages(program, request)
        if isinstance(messages, Failure):
            return messages
        limit_failure = _admission.check_limits(
            program,
            target.config.kind,
            prompt_tokens=program.context_tokens + _admission.estimate_tokens(messages),
            now_s=self._parts.wall_clock(),
        )
        if limit_failure is not None:
            return limit_failure
        return RunningCall(
            log=log,
            program=program,
            branch=target.config.branch,
            kind=target.config.kind,
            request=request,
            number=decision.number,
            digest=decision.digest,
            repeatable=target.repeatable,
            messages=messages,
            deadline_at=anyio.current_time() + request.deadline_s,
            history_length=len(program.messages),
            rerun=decision.rerun,
        )

    def _remove_running(self, call: RunningCall) -> None:
        calls = self._running.get(call.program.program, {})
        if calls.get(call.number) is call:
            del calls[call.number]
        if not calls:
            self._running.pop(call.program.program, None)
        if not self._running:
            self._idle_event.set()
            self._idle_event = anyio.Event()

    def _running_digests(self, program: str) -> dict[int, str]:
        return {number: call.digest for number, call in self._running.get(program, {}).items()}

    def _existing_program(
        self, program: ProgramState, request: OpenProgram
    ) -> Result[ProgramView, Failure]:
        if program.branch != request.branch:
            detail = f"program {program.program} belongs to another branch"
            return Err(Failure(ErrorKind.FORBIDDEN, detail))
        if (program.kind, program.parent) != (request.kind, request.parent):
            detail = f"program {program.program} was opened as {program.kind}"
            return Err(Failure(ErrorKind.DUPLICATE_MISMATCH, detail))
        return Ok(program_view(program, history=False))
