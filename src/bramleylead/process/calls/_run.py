"""Runs one call of a program, from the budget reservation to the journaled outcome.

The promises depend on the order of the steps: reserve the budget, wait for a slot, journal the
intent on both copies, check that the owner's lease is still valid, send, and journal the outcome.
Nothing is sent before the intent is journaled, so a failure until then is reported as "not run".
After that, a non-repeatable call is sent at most once, and an unknown outcome stays unknown.
"""

from __future__ import annotations

import math
from abc import ABC
from abc import abstractmethod

import anyio
from result import Err
from result import Ok

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.errors import Ran
from bramleylead.process._owner_dependencies import OwnerDependencies
from bramleylead.process.calls._attempt_result import AttemptOutcome
from bramleylead.process.calls._attempt_result import AttemptResult
from bramleylead.process.calls._running_call import RunningCall
from bramleylead.process.journal._entries import CacheHeld
from bramleylead.process.journal._entries import CallFinished
from bramleylead.process.journal._entries import CallIntended
from bramleylead.process.journal._entries import CallWithdrawn
from bramleylead.process.journal._state import CallStatus
from bramleylead.promises import Promise
from bramleylead.request import AnswerEnd
from bramleylead.request import CallKind
from bramleylead.scheduling import Slot
from bramleylead.scheduling import SlotFinished
from bramleylead.scheduling import SlotRequest

POSSIBLE_CACHE_TOKENS = 1
"""Journaled for a cache of unknown size; 0 would mean that it was released."""


class CallRun(ABC):
    """Runs one call. Subclasses define the cost, the slot request and how the call is sent."""

    def __init__(self, parts: OwnerDependencies, call: RunningCall) -> None:
        self._parts = parts
        self._call = call

    @abstractmethod
    def max_cost(self) -> int:
        """Return the most budget units that the call can cost."""

    @abstractmethod
    def cost(self, result: AttemptResult) -> int:
        """Return the budget units that a finished attempt cost."""

    @abstractmethod
    def slot_request(self) -> SlotRequest:
        """Return the request for a slot from the scheduler."""

    @abstractmethod
    async def run_attempt(self, slot: Slot, attempt_number: int) -> AttemptResult:
        """Send the call to the slot's endpoint and wait for its result."""

    async def run(self) -> AnswerEnd | Failure:
        """Run the call and return its outcome."""
        self._call.started_at = anyio.current_time()
        end = await self._run_with_budget()
        if isinstance(end, Failure) and self._call.rerun and end.answer.ran is Ran.NOT_RUN:
            end = Failure(
                ErrorKind.OWNER_LOST, f"{self._call.name} may have run before; now: {end.detail}"
            )
        if isinstance(end, Failure):
            self._parts.promises.check(
                Promise.NOT_RUN,
                not (end.answer.ran is Ran.NOT_RUN and self._call.sent),
                f"{self._call.name} was sent but reported as not run: {end.kind.value}",
            )
        return end

    async def _run_with_budget(self) -> AnswerEnd | Failure:
        call, escrow = self._call, self._parts.escrow
        budget, units = call.branch.budget, self.max_cost()
        reserved = await escrow.reserve(call.log, budget, units)
        if isinstance(reserved, Err):
            return reserved.err_value
        try:
            return await self._run_attempts(budget, units)
        finally:
            if not call.intent_journaled:
                escrow.cancel_reservation(call.log, budget, units)

    async def _run_attempts(self, budget: str, units: int) -> AnswerEnd | Failure:
        max_attempts = self._parts.settings.requests.attempts
        last_result = AttemptResult(AttemptOutcome.NOT_RUN, "the call was not sent to any endpoint")
        for attempt_number in range(max_attempts):
            async with self._parts.scheduler.slot(self.slot_request()) as granted:
                if isinstance(granted, Err):
                    return await self._end_without_slot(granted.err_value, last_result)
                slot = granted.ok_value
                if not self._call.intent_journaled:
                    failure = await self._journal_intent(budget, units, slot.granted.endpoint)
                    if failure is not None:
                        return failure
                elif not await self._journal_possible_cache(slot.granted.endpoint):
                    break
                last_result = await self._send(slot, attempt_number)
            if last_result.outcome is AttemptOutcome.DONE or not self._may_retry(
                last_result, attempt_number
            ):
                break
            self._parts.metrics.retries.inc({"cause": last_result.outcome.value})
        return await self._journal_outcome(last_result)

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
        call.intent_journaled = True
        self._parts.escrow.confirm_reservation(call.log, budget, units)
        call.buffer.start(call.number, call.program.incarnation)
        return None

    async def _journal_possible_cache(self, endpoint: str) -> bool:
        """Journal that a retry may leave a cache at another engine; return if that succeeded.

        If this node ends during the retry, the next owner releases it.
        """
        call = self._call
        if call.request.call_kind is not CallKind.MODEL or endpoint in call.program.caches:
            return True
        entry = CacheHeld(call.program.program, endpoint, POSSIBLE_CACHE_TOKENS)
        return isinstance(await call.log.append(entry), Ok)

    async def _send(self, slot: Slot, attempt_number: int) -> AttemptResult:
        call = self._call
        call.endpoint = slot.granted.endpoint
        if not await self._confirm_owner():
            return AttemptResult(
                AttemptOutcome.NOT_RUN, "the second copy did not confirm the owner in time"
            )
        self._check_before_send(slot.granted.endpoint)
        started = anyio.current_time()
        result = await self.run_attempt(slot, attempt_number)
        if result.outcome is not AttemptOutcome.NOT_RUN:
            call.sent = True
        else:
            call.avoided_endpoints.append(slot.granted.endpoint)
        if result.outcome in (AttemptOutcome.FAILED, AttemptOutcome.UNKNOWN):
            call.avoided_endpoints.append(slot.granted.endpoint)
        slot.finish(
            SlotFinished(
                endpoint=slot.granted.endpoint,
                ok=result.outcome is AttemptOutcome.DONE,
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
        """Confirm that this node is still the owner, as the last step before sending.

        A previous owner that was paused must not send: a non-repeatable call would run after its
        outcome was reported as unknown, and a model call would run out of order. During a confirmed
        outage of the store, a repeatable call needs no confirmation from the second copy.
        """
        call = self._call
        if call.log.has_valid_lease():
            return True
        confirmed = await call.log.append()
        if isinstance(confirmed, Err):
            return False
        return call.log.has_valid_lease() or (call.repeatable and not confirmed.ok_value)

    def _check_before_send(self, endpoint: str) -> None:
        call, promises = self._call, self._parts.promises
        promises.require(
            Promise.AT_MOST_ONCE,
            call.repeatable or not call.sent,
            f"{call.name} would be sent a second time",
        )
        promises.require(
            Promise.CALL_ORDER,
            call.program.last_number in (call.number - 1, call.number),
            f"{call.name} would run after call {call.program.last_number}",
        )
        endpoint_config = self._parts.tickets.config.endpoints.get(endpoint)
        promises.check(
            Promise.LEAVING_ENDPOINT,
            endpoint_config is None or not endpoint_config.leaving,
            f"{call.name} would be sent to {endpoint}, which is leaving",
        )

    def _may_retry(self, last_result: AttemptResult, attempt_number: int) -> bool:
        call = self._call
        if attempt_number == 0 and last_result.outcome is AttemptOutcome.DONE:
            self._parts.retries.succeeded()
        can_repeat = last_result.outcome is AttemptOutcome.NOT_RUN or call.repeatable
        in_time = call.seconds_left > 0
        is_last_attempt = attempt_number + 1 >= self._parts.settings.requests.attempts
        if not can_repeat or not in_time or is_last_attempt:
            return False
        # An attempt that never reached an endpoint put no load on it, so its retry is not counted
        # against the retry budget.
        return not last_result.reached or self._parts.retries.allow()

    async def _end_without_slot(
        self, failure: Failure, last_result: AttemptResult
    ) -> AnswerEnd | Failure:
        """Return the outcome when no slot was granted.

        A call whose intent was journaled by an earlier attempt also needs a journaled outcome.
        """
        if not self._call.intent_journaled:
            return failure
        return await self._journal_outcome(
            last_result._replace(detail=f"{last_result.detail}; then {failure.detail}")
        )

    async def _journal_outcome(self, last_result: AttemptResult) -> AnswerEnd | Failure:
        if (
            last_result.outcome is AttemptOutcome.NOT_RUN
            and not self._call.sent
            and not self._call.rerun
        ):
            return await self._withdraw(last_result)
        return await self._journal_finished(last_result)

    async def _withdraw(self, last_result: AttemptResult) -> Failure:
        call = self._call
        await call.log.append(CallWithdrawn(call.program.program, call.number))
        detail = f"{call.name} at {call.endpoint}: {last_result.detail}"
        if last_result.finish == "rejected":
            return Failure(ErrorKind.ENDPOINT_REJECTED, detail)
        if last_result.retry_after_s > 0:
            return Failure(ErrorKind.OVERLOADED, detail, last_result.retry_after_s)
        return Failure(ErrorKind.OVERLOADED, detail)

    async def _journal_finished(self, last_result: AttemptResult) -> AnswerEnd | Failure:
        call = self._call
        status = _call_status(last_result, call)
        history_length = len(call.program.messages)
        entry = self._finished_entry(last_result, status)
        journaled = await call.log.append(entry)
        if isinstance(journaled, Err):
            return self._owner_lost_failure(journaled.err_value)
        self._parts.promises.check(
            Promise.HISTORY,
            history_length == call.history_length,
            f"{call.name}: history changed from {call.history_length} to {history_length} messages "
            "during the call",
        )
        return self._call_outcome(last_result, status, durable=journaled.ok_value)

    def _finished_entry(self, last_result: AttemptResult, status: CallStatus) -> CallFinished:
        call = self._call
        spent = self.max_cost() if status is CallStatus.UNKNOWN else self.cost(last_result)
        done = status is CallStatus.DONE
        return CallFinished(
            program=call.program.program,
            number=call.number,
            status=status.value,
            answer=call.buffer.text if done else last_result.detail,
            value=last_result.value,
            finish=last_result.finish,
            prompt_tokens=last_result.prompt_tokens,
            cached_tokens=last_result.cached_tokens,
            output_tokens=last_result.output_tokens,
            endpoint=call.endpoint,
            spent=min(spent, self.max_cost()),
            at_s=self._parts.wall_clock(),
        )

    def _call_outcome(
        self, last_result: AttemptResult, status: CallStatus, *, durable: bool
    ) -> AnswerEnd | Failure:
        call = self._call
        if status is CallStatus.FAILED:
            return Failure(ErrorKind.ENDPOINT_FAILED, f"{call.name}: {last_result.detail}")
        if status is CallStatus.UNKNOWN:
            return Failure(ErrorKind.OUTCOME_UNKNOWN, f"{call.name}: {last_result.detail}")
        return AnswerEnd(
            number=call.number,
            incarnation=call.program.incarnation,
            length=call.buffer.length,
            finish=last_result.finish,
            prompt_tokens=last_result.prompt_tokens,
            cached_tokens=last_result.cached_tokens,
            output_tokens=last_result.output_tokens,
            endpoint=call.endpoint,
            durable=durable,
            value=last_result.value,
        )

    def _owner_lost_failure(self, failure: Failure) -> Failure:
        """Return the failure for an outcome that could not be journaled.

        The next owner determines the outcome from its copy of the journal.
        """
        call = self._call
        detail = f"{call.name} ended, but its outcome was not journaled: {failure.detail}"
        return Failure(ErrorKind.OWNER_LOST, detail)


def _call_status(last_result: AttemptResult, call: RunningCall) -> CallStatus:
    if last_result.outcome is AttemptOutcome.DONE:
        return CallStatus.DONE
    if last_result.outcome is AttemptOutcome.UNKNOWN and not call.repeatable:
        return CallStatus.UNKNOWN
    return CallStatus.FAILED


def token_cost(tokens: int, price_per_thousand: int) -> int:
    """Return the price of tokens in budget units, rounded up."""
    return math.ceil(tokens * price_per_thousand / 1000)
