"""Requests to plain services: sent to one replica, and to another only if that is safe."""

from __future__ import annotations

from typing import final

import anyio
import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.gateway._call import Call
from bramleylead.gateway._call import CompleteResponse
from bramleylead.gateway._call import NotRun
from bramleylead.gateway._call import Outcome
from bramleylead.gateway._call import UnknownOutcome
from bramleylead.gateway._crash_guard import CrashGuard
from bramleylead.gateway._customer_quotas import CustomerQuotas
from bramleylead.gateway._permit_waits import RETRY_AFTER_S
from bramleylead.gateway._response_body import StartedResponse
from bramleylead.gateway._response_body import read_complete
from bramleylead.gateway._sender import Sender
from bramleylead.platform._types import Replica

MAX_UNREACHED_REPLICAS = 4
"""Replicas that are unreachable or replaced don't count as attempts; this limits their number."""

log = structlog.get_logger()


@final
class PlainCalls:
    """Answers requests to plain services."""

    def __init__(self, sender: Sender, guard: CrashGuard, quotas: CustomerQuotas) -> None:
        self._sender = sender
        self._guard = guard
        self._quotas = quotas

    async def answer(self, call: Call) -> Result[CompleteResponse, Failure]:
        """Return a replica's complete response, or a failure, by the caller's deadline."""
        self._sender.record_demand()
        refusal = self._guard.refusal(call)
        if refusal is not None:
            return Err(refusal)
        attempts = _Attempts(call)
        with anyio.move_on_after(max(0.0, call.remaining_s)):
            admitted = await self._quotas.admit(call, under_way=bool(call.metadata.program))
            if isinstance(admitted, Err):
                return admitted
            try:
                return await self._try_replicas(call, attempts)
            finally:
                if not attempts.may_have_run:
                    self._quotas.give_back(admitted.ok_value)
        return attempts.timeout_result()

    async def _try_replicas(
        self, call: Call, attempts: _Attempts
    ) -> Result[CompleteResponse, Failure]:
        service = self._sender.choice.pick_service(call.route)
        refusal = self._sender.admission.check_plain(call, service)
        if refusal is not None:
            return Err(Failure(ErrorKind.OVERLOADED, refusal.detail, refusal.retry_after_s))
        while attempts.can_retry and self._guard.refusal(call) is None:
            replica = await self._sender.choice.choose(call, service, attempts.tried_replicas)
            if replica is None:
                attempts.retry_after_s = self._sender.choice.retry_after_s(service)
                break
            outcome = await self._attempt(call, replica, attempts)
            self._sender.record_outcome(replica, outcome)
            if isinstance(outcome, CompleteResponse) and not outcome.is_server_error:
                await self._guard.record_success(call)
            if isinstance(outcome, CompleteResponse) and not (
                outcome.is_server_error and call.route.repeatable
            ):
                return Ok(outcome)
            attempts.record_failure(replica, outcome)
            if isinstance(outcome, UnknownOutcome) and outcome.connection_lost:
                crashed = await self._guard.record_lost_connection(call, replica, events=0)
                attempts.discount(crashed)
        return attempts.final_result()

    async def _attempt(self, call: Call, replica: Replica, attempts: _Attempts) -> Outcome:
        attempts.start()
        async with self._sender.send(call, replica, body=call.body) as result:
            if not isinstance(result, StartedResponse):
                return result
            return await read_complete(result, call.admit_response)


class _Attempts:
    """The attempts to send one request, and their outcomes."""

    def __init__(self, call: Call) -> None:
        self._call = call
        self._attempt_count = 0
        self._unreached_count = 0
        self._may_have_run = False
        self._in_flight = False
        self._detail = "no replica is available"
        self._error_response: CompleteResponse | None = None
        self.tried_replicas: set[str] = set()
        self.retry_after_s = RETRY_AFTER_S

    @property
    def may_have_run(self) -> bool:
        """Whether a replica may have run the request, or may be running it."""
        return self._may_have_run or self._in_flight

    @property
    def can_retry(self) -> bool:
        """Whether the request may be sent to another replica."""
        route = self._call.route
        if self._may_have_run and not route.repeatable:
            return False
        return (
            self._attempt_count < route.max_attempts
            and self._unreached_count < MAX_UNREACHED_REPLICAS
        )

    def start(self) -> None:
        self._in_flight = True

    def record_failure(self, replica: Replica, outcome: Outcome) -> None:
        """Record an attempt that did not succeed."""
        self._in_flight = False
        self.tried_replicas.add(replica.name)
        if isinstance(outcome, CompleteResponse):
            self._error_response = outcome
            self._detail = f"{replica.name} answered {outcome.head.status}"
        else:
            self._detail = outcome.detail
        counted = not isinstance(outcome, NotRun) or outcome.counts_as_attempt
        may_have_run = not isinstance(outcome, NotRun)
        self._attempt_count += counted
        self._unreached_count += not counted
        self._may_have_run = self._may_have_run or may_have_run
        log.info(
            "try_failed",
            request=self._call.metadata.request_id,
            replica=replica.name,
            may_have_run=may_have_run,
            reason=self._detail,
        )

    def discount(self, crashed: bool) -> None:
        """Don't count the last attempt if its replica has crashed and works on it no longer."""
        self._attempt_count -= crashed

    def final_result(self) -> Result[CompleteResponse, Failure]:
        """Return the result after the last attempt, if possible a replica's own error response."""
        if self._error_response is not None:
            return Ok(self._error_response)
        if self._may_have_run:
            return Err(Failure(ErrorKind.ENDPOINT_LOST, self._detail))
        return Err(Failure(ErrorKind.OVERLOADED, self._detail, self.retry_after_s))

    def timeout_result(self) -> Result[CompleteResponse, Failure]:
        """Return the result after the deadline has passed."""
        if self._error_response is not None:
            return Ok(self._error_response)
        if self.may_have_run:
            return Err(
                Failure(ErrorKind.OUTCOME_UNKNOWN, "no response within the request's deadline")
            )
        detail = "no replica accepted the request within its deadline"
        return Err(Failure(ErrorKind.OVERLOADED, detail, RETRY_AFTER_S))
