"""Runs one call of a program from its reservation to its journaled end.

The order of steps is what keeps the promises: reserve the budget, wait for a slot, journal the
intent on both copies, look at the clock, send, journal the end. Before the intent is journaled
nothing was sent, and a refusal says "not run". After it, a call that may not be repeated is sent
once at the most, and an outcome that is not known stays so.
"""

from __future__ import annotations

import math
from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Any
from typing import NamedTuple

import anyio
from result import Err

from bramleylead.backends import BackendError
from bramleylead.backends import BackendErrorKind
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.errors import Ran
from bramleylead.process._parts import OwnerParts
from bramleylead.process.journal._entries import CallFinished
from bramleylead.process.journal._entries import CallIntended
from bramleylead.process.journal._entries import CallWithdrawn
from bramleylead.process.journal._log import PartitionLog
from bramleylead.process.journal._state import CallStatus
from bramleylead.process.journal._state import ProgramState
from bramleylead.promises import Promise
from bramleylead.request import AnswerBuffer
from bramleylead.request import AnswerEnd
from bramleylead.request import CallRequest
from bramleylead.scheduling import Slot
from bramleylead.scheduling import SlotFinished
from bramleylead.scheduling import SlotRequest
from bramleylead.version import Branch
from bramleylead.version import ProgramKind


class Next(Enum):
    """What follows an attempt."""

    DONE = "done"
    NOT_RUN = "not run"
    FAILED = "failed"
    UNKNOWN = "unknown"


class Attempt(NamedTuple):
    """How one attempt at an endpoint went."""

    next: Next
    detail: str = ""
    value: Any = None
    finish: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    first_token_s: float = 0.0
    retry_after_s: float = 0.0
    reached: bool = True


@dataclass(slots=True)
class RunningCall:
    """What lives as long as one running call.

    :param history_length: messages that the program had when the call started.
    :param sent: whether a byte of the call may have reached an endpoint.
    :param again: whether the journal has an earlier run of the call, which may have been sent.
    """

    log: PartitionLog
    program: ProgramState
    branch: Branch
    kind: ProgramKind
    request: CallRequest
    number: int
    digest: str
    repeatable: bool
    messages: tuple[tuple[str, str], ...]
    deadline_at: float
    history_length: int
    buffer: AnswerBuffer = field(default_factory=AnswerBuffer)
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    sent: bool = False
    intended: bool = False
    again: bool = False
    avoid: list[str] = field(default_factory=list)
    started_at: float = 0.0
    endpoint: str = ""

    @property
    def name(self) -> str:
        """``program/number``, the call's identity towards endpoints."""
        return f"{self.program.program}/{self.number}"

    @property
    def seconds_left(self) -> float:
        """Time until the caller's deadline."""
        return self.deadline_at - anyio.current_time()


class CallRun(ABC):
    """Runs one call; kinds of call differ in what they cost, ask for and send."""

    def __init__(self, parts: OwnerParts, call: RunningCall) -> None:
        self._parts = parts
        self._call = call

    @abstractmethod
    def worst_cost(self) -> int:
        """Budget units that the call can cost at the most."""

    @abstractmethod
    def cost(self, attempt: Attempt) -> int:
        """Budget units that a finished attempt did cost."""

    @abstractmethod
    def slot_request(self) -> SlotRequest:
        """Return what to ask the scheduler for."""

    @abstractmethod
    async def attempt(self, slot: Slot, attempt: int) -> Attempt:
        """Send the call to the slot's endpoint and follow it to its end."""

    async def run(self) -> AnswerEnd | Failure:
        """Run the call and return how it ended."""
        self._call.started_at = anyio.current_time()
        end = await self._run_with_budget()
        if isinstance(end, Failure) and self._call.again and end.answer.ran is Ran.NOT_RUN:
            end = Failure(ErrorKind.OWNER_LOST, f"{self._call.name} ran before; now: {end.detail}")
        if isinstance(end, Failure):
            self._parts.promises.check(
                Promise.NOT_RUN,
                not (end.answer.ran is Ran.NOT_RUN and self._call.sent),
                f"{self._call.name} was sent and answered {end.kind.value}",
            )
        return end

    async def _run_with_budget(self) -> AnswerEnd | Failure:
        call, escrow = self._call, self._parts.escrow
        budget, units = call.branch.budget, self.worst_cost()
        reserved = await escrow.reserve(call.log, budget, units)
        if isinstance(reserved, Err):
            return reserved.err_value
        try:
            return await self._run_attempts(budget, units)
        finally:
            if not call.intended:
                escrow.cancel(call.log, budget, units)

    async def _run_attempts(self, budget: str, units: int) -> AnswerEnd | Failure:
        limit = self._parts.settings.requests.attempts
        last = Attempt(Next.NOT_RUN, "no endpoint took the call")
        for number in range(limit):
            async with self._parts.scheduler.slot(self.slot_request()) as granted:
                if isinstance(granted, Err):
                    return await self._refused(granted.err_value, last)
                slot = granted.ok_value
                if not self._call.intended:
                    failure = await self._journal_intent(budget, units, slot.granted.endpoint)
                    if failure is not None:
                        return failure
                last = await self._send(slot, number)
            if last.next is Next.DONE or not self._may_retry(last, number):
                break
            self._parts.metrics.retries.inc({"cause": last.next.value})
        return await self._settle(last)

    async def _journal_intent(self, budget: str, units: int, endpoint: str) -> Failure | None:
        call = self._call
        entry = CallIntended(
            program=call.program.program,
            number=call.number,
            key=call.request.key,
            digest=call.digest,
            call_kind=call.request.call_kind,
            target=call.request.target,
            repeatable=call.repeatable,
            budget=budget,
            reserved=units,
            messages=call.messages,
            at_s=self._parts.wall_clock(),
            endpoint=endpoint,
        )
        journaled = await call.log.append(entry)
        if isinstance(journaled, Err):
            return journaled.err_value
        call.intended = True
        self._parts.escrow.reserved(call.log, budget, units)
        call.buffer.start(call.number, call.program.incarnation)
        return None

    async def _send(self, slot: Slot, number: int) -> Attempt:
        call = self._call
        call.endpoint = slot.granted.endpoint
        if not await self._confirm_owner():
            return Attempt(Next.NOT_RUN, "the second copy did not confirm this owner in time")
        self._check_before_send(slot.granted.endpoint)
        started = anyio.current_time()
        result = await self.attempt(slot, number)
        if result.next is not Next.NOT_RUN:
            call.sent = True
        else:
            call.avoid.append(slot.granted.endpoint)
        if result.next in (Next.FAILED, Next.UNKNOWN):
            call.avoid.append(slot.granted.endpoint)
        slot.finish(
            SlotFinished(
                endpoint=slot.granted.endpoint,
                ok=result.next is Next.DONE,
                first_token_s=result.first_token_s,
                duration_s=anyio.current_time() - started,
                prompt_tokens=result.prompt_tokens,
                cached_tokens=result.cached_tokens,
                output_tokens=result.output_tokens,
                reached=result.reached,
            )
        )
        return result

    async def _confirm_owner(self) -> bool:
        """Make sure that this node is still the owner, as the last step before a send.

        A former owner that was paused must send nothing: a call that may not be repeated would
        run after its outcome was told as unknown, and a model call would run out of order. With
        the store's outage confirmed, a call that may be repeated needs no second copy.
        """
        call = self._call
        if call.log.may_act():
            return True
        confirmed = await call.log.append()
        if isinstance(confirmed, Err):
            return False
        return call.log.may_act() or (call.repeatable and not confirmed.ok_value)

    def _check_before_send(self, endpoint: str) -> None:
        call, promises = self._call, self._parts.promises
        promises.require(
            Promise.AT_MOST_ONCE,
            call.repeatable or not call.sent,
            f"{call.name} would be sent twice",
        )
        promises.require(
            Promise.CALL_ORDER,
            call.program.last_number in (call.number - 1, call.number),
            f"{call.name} would run after call {call.program.last_number}",
        )
        known = self._parts.tickets.config.endpoints.get(endpoint)
        promises.check(
            Promise.LEAVING_ENDPOINT,
            known is None or not known.leaving,
            f"{call.name} would be sent to {endpoint}, which is leaving",
        )

    def _may_retry(self, last: Attempt, number: int) -> bool:
        call = self._call
        if number == 0 and last.next is Next.DONE:
            self._parts.retries.succeeded()
        safe = last.next is Next.NOT_RUN or call.repeatable
        in_time = call.seconds_left > 0
        last_attempt = number + 1 >= self._parts.settings.requests.attempts
        if not safe or not in_time or last_attempt:
            return False
        # What never reached an endpoint put no load on it, so the retry budget is not asked.
        return not last.reached or self._parts.retries.allow()

    async def _refused(self, failure: Failure, last: Attempt) -> AnswerEnd | Failure:
        """Answer when no slot was given; after a first attempt the journal needs an end."""
        if not self._call.intended:
            return failure
        return await self._settle(last._replace(detail=f"{last.detail}; then {failure.detail}"))

    async def _settle(self, last: Attempt) -> AnswerEnd | Failure:
        if last.next is Next.NOT_RUN and not self._call.sent and not self._call.again:
            return await self._withdraw(last)
        return await self._journal_end(last)

    async def _withdraw(self, last: Attempt) -> Failure:
        call = self._call
        await call.log.append(CallWithdrawn(call.program.program, call.number))
        detail = f"{call.name} at {call.endpoint}: {last.detail}"
        if last.finish == "rejected":
            return Failure(ErrorKind.ENDPOINT_REJECTED, detail)
        if last.retry_after_s > 0:
            return Failure(ErrorKind.OVERLOADED, detail, last.retry_after_s)
        return Failure(ErrorKind.OVERLOADED, detail)

    async def _journal_end(self, last: Attempt) -> AnswerEnd | Failure:
        call = self._call
        status = _status(last, call)
        before = len(call.program.messages)
        entry = self._finished_entry(last, status)
        journaled = await call.log.append(entry)
        if isinstance(journaled, Err):
            return self._lost_owner(journaled.err_value)
        self._parts.promises.check(
            Promise.HISTORY,
            before == call.history_length,
            f"{call.name}: history grew from {call.history_length} to {before} during the call",
        )
        return self._end(last, status, durable=journaled.ok_value)

    def _finished_entry(self, last: Attempt, status: CallStatus) -> CallFinished:
        call = self._call
        spent = self.worst_cost() if status is CallStatus.UNKNOWN else self.cost(last)
        done = status is CallStatus.DONE
        return CallFinished(
            program=call.program.program,
            number=call.number,
            status=status.value,
            answer=call.buffer.text if done else last.detail,
            value=last.value,
            finish=last.finish,
            prompt_tokens=last.prompt_tokens,
            cached_tokens=last.cached_tokens,
            output_tokens=last.output_tokens,
            endpoint=call.endpoint,
            spent=min(spent, self.worst_cost()),
            at_s=self._parts.wall_clock(),
        )

    def _end(self, last: Attempt, status: CallStatus, *, durable: bool) -> AnswerEnd | Failure:
        call = self._call
        if status is CallStatus.FAILED:
            return Failure(ErrorKind.ENDPOINT_FAILED, f"{call.name}: {last.detail}")
        if status is CallStatus.UNKNOWN:
            return Failure(ErrorKind.OUTCOME_UNKNOWN, f"{call.name}: {last.detail}")
        return AnswerEnd(
            number=call.number,
            incarnation=call.program.incarnation,
            length=call.buffer.length,
            finish=last.finish,
            prompt_tokens=last.prompt_tokens,
            cached_tokens=last.cached_tokens,
            output_tokens=last.output_tokens,
            endpoint=call.endpoint,
            durable=durable,
            value=last.value,
        )

    def _lost_owner(self, failure: Failure) -> Failure:
        """Answer when the end could not be journaled: the next owner decides what is known."""
        call = self._call
        detail = f"{call.name} ended, but its journal did not take it: {failure.detail}"
        return Failure(ErrorKind.OWNER_LOST, detail)


def _status(last: Attempt, call: RunningCall) -> CallStatus:
    if last.next is Next.DONE:
        return CallStatus.DONE
    if last.next is Next.UNKNOWN and not call.repeatable:
        return CallStatus.UNKNOWN
    return CallStatus.FAILED


def attempt_of_error(error: BackendError) -> Attempt:
    """Return what an endpoint's error means for the attempt."""
    if error.kind is BackendErrorKind.NOT_SENT:
        return Attempt(Next.NOT_RUN, error.detail, reached=False)
    if error.kind is BackendErrorKind.REFUSED:
        finish = "" if error.retry_after_s > 0 else "rejected"
        return Attempt(Next.NOT_RUN, error.detail, finish=finish, retry_after_s=error.retry_after_s)
    if error.kind is BackendErrorKind.STALE_FENCE:
        return Attempt(Next.NOT_RUN, error.detail)
    if error.kind is BackendErrorKind.LOST:
        return Attempt(Next.UNKNOWN, error.detail)
    return Attempt(Next.FAILED, error.detail)


def token_cost(tokens: int, price_per_thousand: int) -> int:
    """Return the budget units that tokens cost, rounded up."""
    return math.ceil(tokens * price_per_thousand / 1000)
