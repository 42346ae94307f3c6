"""Sends one request to one replica, and reads the head of its response."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import final

import anyio
import structlog
from anyio.abc import TaskGroup
from result import Err

from bramleylead.customers import Customer
from bramleylead.gateway._admission_control import AdmissionControl
from bramleylead.gateway._call import Call
from bramleylead.gateway._call import CompleteResponse
from bramleylead.gateway._call import NotRun
from bramleylead.gateway._call import Outcome
from bramleylead.gateway._call import UnknownOutcome
from bramleylead.gateway._directory import Directory
from bramleylead.gateway._load_reporter import LoadReporter
from bramleylead.gateway._replica_choice import ReplicaChoice
from bramleylead.gateway._replica_choice import prompt_of
from bramleylead.gateway._replica_connection import ConnectionUse
from bramleylead.gateway._replica_connection import NotSentError
from bramleylead.gateway._replica_connection import ReplicaConnection
from bramleylead.gateway._replica_connection import RequestHead
from bramleylead.gateway._replica_connection import ResponseHead
from bramleylead.gateway._replica_connection import UpstreamError
from bramleylead.gateway._replica_connection import exchange_heads
from bramleylead.gateway._replica_connection import sending_tasks
from bramleylead.gateway._replica_connections import ReplicaConnections
from bramleylead.gateway._response_body import StartedResponse
from bramleylead.gateway._response_body import discard_body
from bramleylead.gateway._response_body import unknown_outcome
from bramleylead.placement._admission import Progress
from bramleylead.placement._admission import Refusal
from bramleylead.placement._customer_use import unknown_use
from bramleylead.placement._fleet_table import FleetLoad
from bramleylead.placement._rate_limits import RateLimits
from bramleylead.placement._replica_paths import ReplicaPaths
from bramleylead.placement._replica_selector import ReplicaSelector
from bramleylead.platform import _wire as wire
from bramleylead.platform._types import Replica
from bramleylead.platform._types import ResponseMetadata

MISDIRECTED_STATUS = 421
PROMISING_STATUSES = frozenset({408, 429, 503})
"""To callers these say that the request has not run and never will."""
NO_RESPONSE_FAILURE_S = 1.0
"""A request abandoned after this long without a response head counts as a replica failure."""
INITIAL_TURN_S = 0.35
TURN_WEIGHT = 0.05
"""Weight of each turn in the moving average of their durations."""

log = structlog.get_logger()


@final
class Sender:
    """Sends requests to the replicas that its choice returns.

    :param reporter: is told where turns have run.
    :param paths: tells which replicas this gateway can reach.
    :param use_of: returns the use of a customer over all gateways; 0 if unknown.
    """

    def __init__(
        self,
        directory: Directory,
        connections: ReplicaConnections,
        selector: ReplicaSelector,
        reporter: LoadReporter,
        limits: RateLimits,
        choice: ReplicaChoice,
        paths: ReplicaPaths,
        rng: random.Random,
        use_of: Callable[[Customer], float] = unknown_use,
    ) -> None:
        self.choice = choice
        self.admission = AdmissionControl(choice, limits, rng, use_of)
        self._paths = paths
        self._directory = directory
        self._connections = connections
        self._selector = selector
        self._reporter = reporter
        self._limits = limits
        self._mean_turn_s = INITIAL_TURN_S

    def record_demand(self) -> None:
        """Count a caller's request in this gateway's share of the traffic."""
        self._limits.record_demand()

    def record_fleet_load(self, call: Call, load: FleetLoad) -> None:
        """Record the load of all other gateways, as learned with a turn's reservation."""
        if load.running or load.holders:
            self._selector.record_fleet_load(load, prompt_of(call))

    def check_admission(self, call: Call, service: str, progress: Progress) -> Refusal | None:
        """Return a refusal if a turn should not start now."""
        return self.admission.check_turn(call, service, progress, turn_s=self._mean_turn_s)

    def record_turn(self, call: Call, replica: Replica, *, took_s: float) -> None:
        """Record that a replica has run a turn completely."""
        self._mean_turn_s += TURN_WEIGHT * (took_s - self._mean_turn_s)
        self._reporter.record_turn(replica.name, prompt_of(call))

    @asynccontextmanager
    async def send(
        self, call: Call, replica: Replica, *, body: bytes, resume_after: str = ""
    ) -> AsyncIterator[StartedResponse | NotRun | UnknownOutcome]:
        """Send a request and yield its response once the head has been read.

        On exit, a connection whose response was read completely returns to the pool. Any other is
        closed, which makes the replica stop work on the request.
        """
        candidate, prompt = self.choice.candidate(call, replica), prompt_of(call)
        if not self._selector.has_room(candidate, prompt):
            # Another request was sent there since the choice.
            detail = f"{replica.name}: no room for {prompt.tokens} tokens"
            yield NotRun(detail, counts_as_attempt=False)
            return
        if not self._limits.take(replica.name):
            yield NotRun(f"{replica.name}: its limit allows no request", counts_as_attempt=False)
            return
        self.admission.record_sent(call)
        self._selector.start_request(candidate, prompt)
        if call.metadata.budget_tokens is not None:
            self._reporter.report_placement()
        try:
            async with self._connections.use(
                replica, idempotent=call.route.idempotent, deadline=call.deadline
            ) as used:
                if isinstance(used, Err):
                    failure = used.err_value
                    if not failure.is_local:
                        self._record_unreached(call, replica, failure.detail)
                    yield NotRun(failure.detail, counts_as_attempt=False)
                    return
                if not self._directory.is_current(replica):
                    # Its entry changed while the connection was being opened.
                    yield NotRun(f"{replica.name} leaves or changed", counts_as_attempt=False)
                    return
                async with self._send_on_connection(
                    call, replica, used.ok_value, body, resume_after
                ) as result:
                    yield result
        finally:
            self._selector.end_request(replica.name, prompt)

    def _record_unreached(self, call: Call, replica: Replica, reason: str) -> None:
        """Record that a replica was not reached, and log what tells a crash from a lost path."""
        self._selector.health.record_connect_failure(replica.name, reason=reason)
        now = anyio.current_time()
        log.info(
            "replica_unreached",
            request=call.metadata.request_id,
            replica=replica.name,
            reason=reason,
            unreached=len(self._paths.unreached(now=now)),
            unheard_s=round(now - self._paths.heard_at, 3),
        )

    @asynccontextmanager
    async def _send_on_connection(
        self,
        call: Call,
        replica: Replica,
        use: ConnectionUse[ReplicaConnection],
        body: bytes,
        resume_after: str,
    ) -> AsyncIterator[StartedResponse | NotRun | UnknownOutcome]:
        result: StartedResponse | NotRun | UnknownOutcome | None = None
        started_at = anyio.current_time()
        try:
            async with sending_tasks(body) as tasks:
                result = await self._send_request(
                    call, replica, use.connection, body, resume_after, tasks
                )
                if isinstance(result, StartedResponse):
                    use.keep_alive_s = result.metadata.keep_alive_s
                yield result
        finally:
            waited_s = anyio.current_time() - started_at
            if result is None and waited_s > NO_RESPONSE_FAILURE_S and not self._paths.is_lost:
                reason = f"no response within {waited_s:.1f} s"
                self._selector.health.record_failure(replica.name, reason=reason)

    async def _send_request(
        self,
        call: Call,
        replica: Replica,
        connection: ReplicaConnection,
        body: bytes,
        resume_after: str,
        tasks: TaskGroup | None,
    ) -> StartedResponse | NotRun | UnknownOutcome:
        head = RequestHead(
            call.method,
            call.target,
            wire.request_headers(
                call.headers,
                remaining_s=call.remaining_s,
                replica=replica.name,
                resume_after=resume_after,
                body_bytes=len(body),
                customer="" if call.customer is None else call.customer.name,
            ),
            call.metadata.request_id,
        )
        try:
            response = await exchange_heads(connection, head, body, tasks)
        except NotSentError as error:
            if error.unreached:
                self._record_unreached(call, replica, str(error))
            return NotRun(str(error), counts_as_attempt=False)
        except UpstreamError as error:
            return unknown_outcome(replica, error)
        return await self._classify(call, replica, connection, response)

    async def _classify(
        self, call: Call, replica: Replica, connection: ReplicaConnection, response: ResponseHead
    ) -> StartedResponse | NotRun | UnknownOutcome:
        metadata = wire.read_answer(response.header_map())
        listed = self._directory.find(replica.name)
        if listed is not None and listed.software != replica.software:
            return UnknownOutcome(f"{replica.name} runs other software now: {listed.software}")
        if metadata.leaving:
            self._directory.record_leaving(replica)
        self._record_limit(replica, response, metadata)
        if metadata.load is not None:
            present = metadata.load.running + metadata.load.waiting
            self._selector.record_load(replica.name, present, metadata.load.slowdown)
        if metadata.not_run or response.status == MISDIRECTED_STATUS:
            await discard_body(connection)
            misdirected = response.status == MISDIRECTED_STATUS
            if metadata.request_id != call.metadata.request_id:
                # It may have been written for another request; this one may have run.
                detail = f"{replica.name}: refusal {response.status} without the request's id"
                return UnknownOutcome(detail)
            log.info(
                "replica_refused",
                request=call.metadata.request_id,
                replica=replica.name,
                status=response.status,
                load=metadata.load,
            )
            return NotRun(
                f"{replica.name} refused: {response.status}", counts_as_attempt=not misdirected
            )
        if response.status in PROMISING_STATUSES:
            # The replica has not said that it didn't run the request.
            return UnknownOutcome(f"{replica.name}: {response.status} without a promise")
        if metadata.encoded or (response.status < 300 and not metadata.signed):
            return UnknownOutcome(
                f"{replica.name}: {response.status}: unsigned or unexpectedly encoded response"
            )
        return StartedResponse(replica, connection, response, metadata)

    def _record_limit(
        self, replica: Replica, response: ResponseHead, metadata: ResponseMetadata
    ) -> None:
        is_replica = metadata.signed or metadata.not_run
        if not is_replica or response.status == MISDIRECTED_STATUS:
            return
        if self._limits.record_limit(replica.name, metadata.limit_per_s):
            log.info("replica_limit", replica=replica.name, limit_per_s=metadata.limit_per_s)

    def record_outcome(self, replica: Replica, outcome: Outcome) -> None:
        """Update a replica's health by the outcome of a request."""
        health = self._selector.health
        if isinstance(outcome, UnknownOutcome):
            if outcome.path_lost:
                return
            health.record_failure(replica.name, reason=outcome.detail)
        elif isinstance(outcome, CompleteResponse):
            if outcome.is_server_error:
                health.record_failure(replica.name, reason=f"answered {outcome.head.status}")
            else:
                health.record_success(replica.name)
