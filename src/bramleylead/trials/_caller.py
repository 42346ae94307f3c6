"""Callers of a trial: each runs one program to its end and checks everything that it is told."""

from __future__ import annotations

import random
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio
from result import Err
from result import Result

from bramleylead.backends import Message
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.errors import Ran
from bramleylead.promises import Promise
from bramleylead.promises import Violation
from bramleylead.request import AnswerEnd
from bramleylead.request import CallKind
from bramleylead.request import CallRequest
from bramleylead.request import EndProgram
from bramleylead.request import OpenProgram
from bramleylead.request import ReadProgram
from bramleylead.standins import answer_to
from bramleylead.trials._observations import Observed
from bramleylead.trials._observations import ProgramEnd
from bramleylead.trials._observations import Received
from bramleylead.trials._observations import Waits
from bramleylead.trials._program_plan import Plan
from bramleylead.trials._program_plan import Step
from bramleylead.trials._target import CallerHost
from bramleylead.trials._target import CallerNode
from bramleylead.trials._target import TrialFleet

CLIENT_DELAY_S = 0.001
READ_TIMEOUT_S = 20.0
"""How long a caller waits for the next byte before it turns to another node."""
CALL_DEADLINE_S = 60.0
GIVE_UP_AFTER_S = 180.0
RETRY_WAIT_S = 0.5
NO_NODE_WAIT_S = 0.2
MAX_OUTPUT_TOKENS = 200


Ask = Callable[[CallerNode], Awaitable[Result[Any, Failure] | None]]


class _Broken(Exception):  # noqa: N818 - a connection that broke, not an error of the program
    """The caller's connection broke."""


class Caller:
    """Runs one program through whichever nodes are ready."""

    def __init__(self, fleet: TrialFleet, plan: Plan, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._incarnation = 0
        self._number = 1
        self._waits = Waits()
        self.seen = Observed(plan)

    async def run(self) -> Observed:
        """Run the program to its end."""
        seen = self.seen
        seen.started_s = anyio.current_time()
        failure = await self._run_steps()
        seen.ended_s = anyio.current_time()
        seen.end = ProgramEnd.FINISHED
        if failure is not None:
            seen.end = ProgramEnd.REFUSED
            if failure.answer.ran is Ran.UNKNOWN:
                seen.end = ProgramEnd.UNKNOWN
            seen.reason = f"{failure.kind.value}: {failure.detail}"
        await self._end()
        return seen

    async def _run_steps(self) -> Failure | None:
        plan = self.seen.plan
        request = OpenProgram(plan.branch, plan.program, plan.kind, plan.parent)
        opened = await self._ask(lambda node: node.open_program(request))
        if isinstance(opened, Err):
            return opened.err_value
        self._incarnation = opened.ok_value.incarnation
        self.seen.not_durable |= not opened.ok_value.durable
        for step in plan.steps:
            await anyio.sleep(step.pause_s)
            started = anyio.current_time()
            self._waits = Waits()
            failure = await self._run_step(step)
            self._waits.note_end()
            self.seen.call_s.append(anyio.current_time() - started)
            self.seen.call_started_s.append(started)
            self.seen.call_waits_s.append(self._waits.longest_s)
            if failure is not None:
                return failure
        return await self._check_history()

    async def _run_step(self, step: Step) -> Failure | None:
        """Make one call, trying again as its answers say, until it has an end."""
        give_up_at = anyio.current_time() + GIVE_UP_AFTER_S
        key = f"{self.seen.plan.program}-{self._number}-{self._rng.getrandbits(32):08x}"
        last: Failure | None = None
        while anyio.current_time() < give_up_at:
            host = await self._host()
            try:
                end = await self._call_once(host, step, key)
            except _Broken:
                self._note_cut(host, step)
                await anyio.sleep(NO_NODE_WAIT_S)
                continue
            if isinstance(end, AnswerEnd):
                return self._take_end(step, end)
            last = end
            verdict = await self._after_failure(step, end)
            if verdict is not None:
                return None if verdict == "go on" else end
            await anyio.sleep(self._wait_s(end))
        return last or Failure(ErrorKind.OWNER_UNAVAILABLE, "no node answered in time")

    async def _after_failure(self, step: Step, failure: Failure) -> str | None:
        """Return how the program goes on after a failed call, or ``None`` to try again."""
        call = f"{self.seen.plan.program}/{self._number}"
        if failure.answer.ran is Ran.NOT_RUN and step.call_kind is CallKind.TOOL:
            self.seen.not_run.append(call)
            self._check_not_run(call, failure)
        self._check_not_lost(failure)
        if failure.kind is ErrorKind.HISTORY_ROLLED_BACK:
            return None if await self._adopt_state() else "stop"
        if failure.kind is ErrorKind.OUTCOME_UNKNOWN:
            self.seen.unknown.append(call)
            await self._adopt_state()
            return "go on" if step.call_kind is CallKind.TOOL else "stop"
        if failure.answer.retry_after_s is None:
            return "stop"
        return None

    def _check_not_lost(self, failure: Failure) -> None:
        """Count a violation when something acknowledged is gone and the caller was not told."""
        lost = failure.kind in (ErrorKind.UNKNOWN_PROGRAM, ErrorKind.OUT_OF_ORDER)
        if lost and not self.seen.not_durable and not self.seen.rolled_back:
            self._violate(Promise.HISTORY, f"call {self._number}: {failure.detail}")

    def _check_not_run(self, call: str, failure: Failure) -> None:
        effects = self._fleet.endpoints.service_ledger.effects.get(call, 0)
        if effects and call not in self._fleet.endpoints.service_ledger.harmless:
            self._violate(Promise.NOT_RUN, f"{call} ran {effects} times: {failure}")

    async def _call_once(self, host: CallerHost, step: Step, key: str) -> AnswerEnd | Failure:
        """Make one try at one node; a connection that breaks or stays silent raises."""
        node = host.node
        if node is None:
            raise _Broken
        received = Received()
        outcome: list[AnswerEnd | Failure] = []
        async with anyio.create_task_group() as tasks:

            async def watch(broken: anyio.Event) -> None:
                await broken.wait()
                tasks.cancel_scope.cancel()

            tasks.start_soon(watch, host.broken)
            with anyio.move_on_after(READ_TIMEOUT_S) as silence:
                await anyio.sleep(CLIENT_DELAY_S)
                async with node.call(self._request(step, key)) as items:
                    async for item in items:
                        silence.deadline = anyio.current_time() + READ_TIMEOUT_S
                        if isinstance(item, AnswerEnd | Failure):
                            outcome.append(item)
                            break
                        received.take(item)
                        self._waits.note_length(len(received.text))
            tasks.cancel_scope.cancel()
        if not outcome:
            raise _Broken
        if isinstance(outcome[0], AnswerEnd):
            self._check_whole(received.text, outcome[0])
        return outcome[0]

    def _request(self, step: Step, key: str) -> CallRequest:
        model = step.call_kind is CallKind.MODEL
        return CallRequest(
            branch=self.seen.plan.branch,
            program=self.seen.plan.program,
            number=self._number,
            incarnation=self._incarnation,
            key=key,
            call_kind=step.call_kind,
            target=step.target,
            messages=(("user", step.text),) if model else (),
            whole_history=False,
            arguments={} if model else {"for": step.text},
            max_tokens=MAX_OUTPUT_TOKENS,
            deadline_s=CALL_DEADLINE_S,
        )

    def _check_whole(self, text: str, end: AnswerEnd) -> None:
        if end.number != self._number:
            self._violate(
                Promise.CALL_ORDER, f"asked for {self._number}, got the answer of {end.number}"
            )
        if len(text) != end.length:
            self._violate(
                Promise.WHOLE_ANSWER, f"call {end.number}: {len(text)} of {end.length} characters"
            )

    def _take_end(self, step: Step, end: AnswerEnd) -> None:
        """Take in a good answer and compare it with the one that this conversation must get."""
        seen = self.seen
        seen.not_durable |= not end.durable
        if step.call_kind is CallKind.MODEL:
            self._take_answer(step, end)
        else:
            call = f"{seen.plan.program}/{self._number}"
            seen.answered_tools.append(call)
            if not self._fleet.endpoints.service_ledger.effects.get(call):
                self._violate(Promise.NOT_RUN, f"{call} was answered and did not run")
        self._number += 1

    def _take_answer(self, step: Step, end: AnswerEnd) -> None:
        asked = [*self.seen.messages, ("user", step.text)]
        conversation = [Message(role, content) for role, content in asked]
        answer = answer_to(conversation, MAX_OUTPUT_TOKENS)
        text = answer.text(0, answer.tokens)
        if len(text) != end.length:
            self._violate(
                Promise.HISTORY,
                f"call {end.number} was answered for another conversation: {end.length} characters "
                f"in place of {len(text)}",
            )
        self.seen.messages = [*asked, ("assistant", text)]

    async def _check_history(self) -> Failure | None:
        """Compare the kept history with the own record."""
        plan = self.seen.plan
        request = ReadProgram(plan.branch, plan.program, history=True)
        read = await self._ask(lambda node: node.read_program(request))
        if isinstance(read, Err):
            return read.err_value
        messages = list(read.ok_value.messages)
        if messages != self.seen.messages and not self._told_of_loss(messages):
            kept = len(read.ok_value.messages)
            self._violate(
                Promise.HISTORY, f"{kept} messages are kept, {len(self.seen.messages)} were seen"
            )
        return None

    def _told_of_loss(self, kept: list[tuple[str, str]]) -> bool:
        """Whether only the end is missing, and an answer had said that one copy alone held it."""
        return self.seen.not_durable and kept == self.seen.messages[: len(kept)]

    async def _adopt_state(self) -> bool:
        """Read the program's state after a recovery that may have lost entries, and go on there.

        Returns whether there is such a state.
        """
        plan = self.seen.plan
        request = ReadProgram(plan.branch, plan.program, history=True)
        read = await self._ask(lambda node: node.read_program(request))
        if isinstance(read, Err):
            self.seen.rolled_back |= read.err_value.kind is ErrorKind.UNKNOWN_PROGRAM
            return False
        view = read.ok_value
        if view.incarnation != self._incarnation:
            self.seen.rolled_back = True
            self.seen.messages = list(view.messages)
        self._incarnation = view.incarnation
        self._number = view.next_number
        return True

    async def _end(self) -> None:
        plan = self.seen.plan
        request = EndProgram(plan.branch, plan.program)
        ended = await self._ask(lambda node: node.end_program(request))
        self.seen.is_released = not isinstance(ended, Err)

    async def _ask(self, ask: Ask) -> Result[Any, Failure]:
        """Make a short request, at other nodes when it fails, until it has an answer."""
        give_up_at = anyio.current_time() + GIVE_UP_AFTER_S
        last = Err(Failure(ErrorKind.OWNER_UNAVAILABLE, "no node answered in time"))
        while anyio.current_time() < give_up_at:
            host = await self._host()
            answered = await self._ask_once(host, ask)
            if answered is None:
                await anyio.sleep(NO_NODE_WAIT_S)
                continue
            if not isinstance(answered, Err) or answered.err_value.answer.retry_after_s is None:
                return answered
            last = answered
            await anyio.sleep(self._wait_s(answered.err_value))
        return last

    async def _ask_once(self, host: CallerHost, ask: Ask) -> Result[Any, Failure] | None:
        node, result = host.node, None
        if node is None:
            return None
        async with anyio.create_task_group() as tasks:

            async def watch(broken: anyio.Event) -> None:
                await broken.wait()
                tasks.cancel_scope.cancel()

            tasks.start_soon(watch, host.broken)
            with anyio.move_on_after(READ_TIMEOUT_S):
                await anyio.sleep(CLIENT_DELAY_S)
                result = await ask(node)
            tasks.cancel_scope.cancel()
        return result

    async def _host(self) -> CallerHost:
        """Return a ready node, as the balancer picks them."""
        while True:
            ready = self._fleet.ready()
            if ready:
                return self._rng.choice(ready)
            await anyio.sleep(NO_NODE_WAIT_S)

    def _note_cut(self, host: CallerHost, step: Step) -> None:
        """Count a violation if a planned stop broke this request."""
        if host.stopping and host.broken.is_set():
            call = f"{self.seen.plan.program}/{self._number}"
            self._violate(Promise.GRACEFUL_STOP, f"{call} was cut off by {host.settings.node}")

    def _wait_s(self, failure: Failure) -> float:
        return (failure.answer.retry_after_s or RETRY_WAIT_S) * (1 + self._rng.random())

    def _violate(self, promise: Promise, detail: str) -> None:
        self._fleet.violations.append(Violation(promise, f"{self.seen.plan.program}: {detail}"))
