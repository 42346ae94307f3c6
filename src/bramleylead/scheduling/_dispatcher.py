"""The dispatcher of a pool: assigns queued calls to slots of its endpoints, by a policy."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Mapping
from contextlib import asynccontextmanager
from typing import Any
from typing import final

import anyio
from aioprometheus import Registry
from result import Err
from result import Ok
from result import Result

from bramleylead.backends import CachePage
from bramleylead.backends import LoadReport
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.node_settings import SchedulingSettings
from bramleylead.promises import Promise
from bramleylead.promises import Promises
from bramleylead.scheduling._decisions import Decision
from bramleylead.scheduling._decisions import DecisionLog
from bramleylead.scheduling._endpoint_view import EndpointView
from bramleylead.scheduling._endpoint_view import ScheduledCall
from bramleylead.scheduling._endpoint_view import new_endpoint_view
from bramleylead.scheduling._health import EndpointHealth
from bramleylead.scheduling._policy import Choice
from bramleylead.scheduling._policy import make_policy
from bramleylead.scheduling._pool_load import PoolNews
from bramleylead.scheduling._pools import MAX_POOL_ENDPOINTS
from bramleylead.scheduling._types import Slot
from bramleylead.scheduling._types import SlotFinished
from bramleylead.scheduling._types import SlotGranted
from bramleylead.scheduling._types import SlotRequest
from bramleylead.version import Endpoint

MAX_DUMPED_DECISIONS = 50
WORKING_SET_WINDOW_S = 60.0
"""How long a prefix counts as in use after its last call, in the load that a pool reports."""


@final
class GrantedSlot:
    """A granted slot, released when the dispatcher's context ends."""

    def __init__(self, granted: SlotGranted) -> None:
        self.granted = granted
        self.report: SlotFinished | None = None

    def finish(self, report: SlotFinished) -> None:
        """Store the result of the call until the slot is released."""
        self.report = report


@final
class Dispatcher:
    """Grants the slots of one pool.

    :param name: the pool's name, for dumps and messages.
    :param clock: clock that measures the time spent on decisions; default: ``time.perf_counter``.
    """

    def __init__(
        self,
        name: str,
        settings: SchedulingSettings,
        *,
        promises: Promises | None = None,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self.name = name
        self.endpoints: dict[str, EndpointView] = {}
        self.decisions = DecisionLog()
        self.decision_s = 0.0
        self.decisions_made = 0
        self._policy = make_policy(settings)
        self._promises = promises or Promises(Registry())
        self._clock = clock or time.perf_counter
        self._health = EndpointHealth()
        self._last_serial = 0
        self._queue: dict[int, ScheduledCall] = {}

    def set_endpoints(self, endpoints: Mapping[str, Endpoint]) -> None:
        """Replace the pool's endpoints by those of the current configuration.

        Calls that run on a removed or leaving endpoint continue; it gets no new calls.

        :raises ValueError: if there are more endpoints than a pool may have.
        """
        if len(endpoints) > MAX_POOL_ENDPOINTS:
            raise ValueError(f"pool {self.name}: {len(endpoints)} endpoints, at most 16 allowed")
        for name in [name for name in self.endpoints if name not in endpoints]:
            view = self.endpoints.pop(name)
            view.leaving = True
        for name, endpoint in endpoints.items():
            if name in self.endpoints:
                self.endpoints[name].update(endpoint)
            else:
                self.endpoints[name] = new_endpoint_view(name, endpoint)
        self._start_ready_calls()

    def observe_load(self, endpoint: str, report: LoadReport) -> None:
        """Apply an endpoint's load report."""
        view = self.endpoints.get(endpoint)
        if view is not None:
            view.observe_load(report, anyio.current_time())

    def observe_cache(self, endpoint: str, page: CachePage) -> bool:
        """Apply cache events. ``False`` if some are missing and the contents must be read."""
        view = self.endpoints.get(endpoint)
        return view is None or view.observe_cache(page)

    def cache_sequence(self, endpoint: str) -> int:
        """Return the sequence number of the last cache event applied from an endpoint."""
        view = self.endpoints.get(endpoint)
        return 0 if view is None else view.next_sequence - 1

    @asynccontextmanager
    async def slot(self, request: SlotRequest) -> AsyncIterator[Result[Slot, Failure]]:
        """Wait for a slot; an ``Err`` means that the call did not run."""
        call = self._new_call(request)
        held: GrantedSlot | None = None
        try:
            failure = await self._wait_for_slot(call)
            if failure is not None or call.endpoint is None:
                yield Err(
                    failure or Failure(ErrorKind.INTERNAL, "slot granted without an endpoint")
                )
                return
            held = GrantedSlot(self._grant_message(call))
            yield Ok(held)
        finally:
            self._release(call, held)

    def pool_load(self) -> PoolNews:
        """Return the pool's load, which is sent along with answers."""
        views = [view for view in self.endpoints.values() if view.is_available]
        slots = sum(int(view.limit) for view in views)
        running = sum(view.outstanding for view in self.endpoints.values())
        queued = len(self._queue)
        return PoolNews(
            pool=self.name,
            endpoints=len(views),
            slots=slots,
            running=running,
            queued=queued,
            expected_wait_s=self._policy.expected_wait_s(new_program=False) + _min_backlog_s(views),
            new_program_wait_s=self._policy.expected_wait_s(new_program=True)
            + _min_backlog_s(views),
            memory_share=_memory_share(views),
        )

    def explain(self, call: str) -> list[Decision]:
        """Return the logged decisions on one call, oldest first."""
        return self.decisions.for_call(call)

    def dump(self) -> dict[str, Any]:
        """Return the dispatcher's state for the node's dump."""
        return {
            "pool": self.name,
            "queued": len(self._queue),
            "expected_wait_s": self.pool_load().expected_wait_s,
            "endpoints": {
                name: {
                    "leaving": view.leaving,
                    "ejected": view.ejected,
                    "running": view.outstanding,
                    "limit": view.limit,
                    "foreign": view.external_calls,
                    "first_token_s": view.first_token_s,
                    "prefixes": len(view.cached),
                }
                for name, view in self.endpoints.items()
            },
            "policy": self._policy.dump(),
            "decisions": [item._asdict() for item in self.decisions.latest(MAX_DUMPED_DECISIONS)],
        }

    def _new_call(self, request: SlotRequest) -> ScheduledCall:
        now = anyio.current_time()
        self._last_serial += 1
        return ScheduledCall(
            request=request,
            serial=self._last_serial,
            enqueued_at=now - request.waited_s,
            deadline_at=now + request.deadline_s,
            signal=anyio.Event(),
        )

    async def _wait_for_slot(self, call: ScheduledCall) -> Failure | None:
        started = self._clock()
        refusal = self._admit(call)
        self.decision_s += self._clock() - started
        if refusal is not None:
            self._log_decision(call, "refused", refusal.detail)
            return refusal
        self._queue[call.serial] = call
        self._start_ready_calls()
        while not call.is_decided:
            now = anyio.current_time()
            if now >= call.deadline_at:
                return self._expire(call)
            with anyio.move_on_after(self._wake_at(call) - now):
                await call.signal.wait()
            if not call.is_decided:
                call.signal = anyio.Event()
                self._start_ready_calls()
        if call.refusal is not None:
            self._queue.pop(call.serial, None)
            self._log_decision(call, "shed", call.refusal.detail)
        return call.refusal

    def _wake_at(self, call: ScheduledCall) -> float:
        """Return when a queued call wakes up; only the oldest also waits for the queue's timer."""
        if call is not next(iter(self._queue.values())):
            return call.deadline_at
        readmission_at = self._health.next_readmission(self.endpoints)
        return min(call.deadline_at, readmission_at, self._policy.wake_at())

    def _wake_oldest(self) -> None:
        """Wake the oldest queued call, so that it takes over the queue's timer."""
        oldest = next(iter(self._queue.values()), None)
        if oldest is not None:
            oldest.signal.set()

    def _admit(self, call: ScheduledCall) -> Failure | None:
        if all(view.leaving for view in self.endpoints.values()):
            return Failure(
                ErrorKind.OVERLOADED, f"pool {self.name} has no endpoint that accepts new calls"
            )
        return self._policy.admit(call, self.endpoints, anyio.current_time())

    def _expire(self, call: ScheduledCall) -> Failure:
        self._policy.remove(call)
        self._queue.pop(call.serial, None)
        detail = f"pool {self.name}: no slot within the call's deadline"
        self._log_decision(call, "expired", detail)
        return Failure(ErrorKind.OVERLOADED, detail, self.pool_load().expected_wait_s)

    def _start_ready_calls(self) -> None:
        """Start every call that the policy selects to start now."""
        started = self._clock()
        now = anyio.current_time()
        self._health.readmit(self.endpoints, now)
        while self._queue:
            choice = self._policy.next_choice(self.endpoints, now)
            self.decisions_made += 1
            if choice is None:
                break
            self._start(choice, now)
        self.decision_s += self._clock() - started

    def _start(self, choice: Choice, now: float) -> None:
        call, view, reason = choice
        self._promises.require(
            Promise.LEAVING_ENDPOINT,
            not view.leaving,
            f"pool {self.name} would start {call.request.call} on {view.name}, which is leaving",
        )
        call.endpoint = view
        call.granted_at = now
        call.reason = reason
        view.start_call(call, now)
        was_oldest = call is next(iter(self._queue.values()))
        del self._queue[call.serial]
        self._log_decision(call, "granted", reason)
        call.signal.set()
        if was_oldest:
            self._wake_oldest()

    def _grant_message(self, call: ScheduledCall) -> SlotGranted:
        assert call.endpoint is not None
        waited_s = call.granted_at - call.enqueued_at
        return SlotGranted(call.endpoint.name, call.endpoint.address, waited_s, call.reason)

    def _release(self, call: ScheduledCall, held: GrantedSlot | None) -> None:
        if self._queue.pop(call.serial, None) is not None:
            self._policy.remove(call)
        view = call.endpoint
        if view is None:
            self._wake_oldest()
            return
        view.end_call(call)
        now = anyio.current_time()
        report = held.report if held is not None else None
        if report is not None and report.prompt_tokens > 0:
            held = report.prompt_tokens + report.output_tokens
            view.set_cached_tokens(call.request.program, held)
            view.working_set.touch(call.request.program, held, now)
        self._policy.call_finished(call, view, report, now)
        if report is not None:
            self._update_health(view, report, now)
        self._start_ready_calls()

    def _update_health(self, view: EndpointView, report: SlotFinished, now: float) -> None:
        change = self._health.record_result(view, report, self.endpoints, now)
        if change is None:
            return
        action = "ejected" if change.for_s else "restored"
        self.decisions.add(Decision(now, "", action, view.name, change.for_s, change.reason))

    def _log_decision(self, call: ScheduledCall, action: str, reason: str) -> None:
        now = anyio.current_time()
        endpoint = call.endpoint.name if call.endpoint is not None else ""
        waited_s = now - call.enqueued_at
        self.decisions.add(Decision(now, call.request.call, action, endpoint, waited_s, reason))


def _min_backlog_s(views: list[EndpointView]) -> float:
    now = anyio.current_time()
    return min((view.backlog_s(now) for view in views), default=0.0)


def _memory_share(views: list[EndpointView]) -> float:
    total = sum(view.memory_tokens for view in views)
    now = anyio.current_time()
    in_use = sum(
        view.working_set.tokens(now, WORKING_SET_WINDOW_S) for view in views if view.memory_tokens
    )
    return in_use / total if total else 0.0
