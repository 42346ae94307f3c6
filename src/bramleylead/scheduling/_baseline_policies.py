"""Baseline policies for comparison; each starts calls in order of arrival."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

import xxhash

from bramleylead.errors import Failure
from bramleylead.scheduling._endpoint_view import EndpointView
from bramleylead.scheduling._endpoint_view import ScheduledCall
from bramleylead.scheduling._endpoint_view import usable_endpoints
from bramleylead.scheduling._policy import Choice
from bramleylead.scheduling._policy import Endpoints
from bramleylead.scheduling._policy import policy
from bramleylead.scheduling._pool_load import DrainEstimate
from bramleylead.scheduling._types import SlotFinished
from bramleylead.scheduling._types import SlotRequest
from bramleylead.validation import Strict


class NoParameters(Strict):
    """The baselines take no parameters."""


class _InOrder:
    """Starts calls in order of arrival, on the endpoint that a subclass selects."""

    def __init__(self, parameters: NoParameters) -> None:
        self._queue: deque[ScheduledCall] = deque()
        self._drain_estimate = DrainEstimate()

    def admit(self, call: ScheduledCall, endpoints: Endpoints, now: float) -> Failure | None:
        """Queue the call."""
        self._queue.append(call)
        self._drain_estimate.call_queued(now)
        return None

    def remove(self, call: ScheduledCall) -> None:
        """Remove a call from the queue."""
        if call in self._queue:
            self._queue.remove(call)

    def next_choice(self, endpoints: Endpoints, now: float) -> Choice | None:
        """Start the oldest call if the endpoint selected for it has a free slot."""
        if not self._queue:
            return None
        call = self._queue[0]
        candidates = usable_endpoints(endpoints.values(), call.request)
        if not candidates:
            return None
        endpoint = self._select(candidates, call.request)
        if not endpoint.has_free_slot:
            return None
        self._queue.popleft()
        self._advance()
        self._drain_estimate.call_started(now, still_queued=len(self._queue))
        return Choice(call, endpoint, type(self).__name__)

    def wake_at(self) -> float:
        """Return infinity: decisions only change on events."""
        return float("inf")

    def call_finished(
        self, call: ScheduledCall, endpoint: EndpointView, report: SlotFinished | None, now: float
    ) -> None:
        """Do nothing: these policies don't use results."""

    def queued(self) -> int:
        """Return the length of the queue."""
        return len(self._queue)

    def expected_wait_s(self, *, new_program: bool) -> float:
        """Return the expected wait behind the whole queue."""
        return self._drain_estimate.expected_wait_s(self.queued())

    def dump(self) -> dict[str, Any]:
        """Return an empty dictionary: the only state is the queue."""
        return {}

    def _select(self, candidates: list[EndpointView], request: SlotRequest) -> EndpointView:
        raise NotImplementedError

    def _advance(self) -> None:
        pass


@policy("round_robin", NoParameters)
class RoundRobin(_InOrder):
    """Selects the endpoints in turn."""

    def __init__(self, parameters: NoParameters) -> None:
        super().__init__(parameters)
        self._turn = 0

    def _select(self, candidates: list[EndpointView], request: SlotRequest) -> EndpointView:
        return candidates[self._turn % len(candidates)]

    def _advance(self) -> None:
        self._turn += 1


@policy("least_outstanding", NoParameters)
class LeastOutstanding(_InOrder):
    """Selects the endpoint with the fewest running calls."""

    def _select(self, candidates: list[EndpointView], request: SlotRequest) -> EndpointView:
        return min(candidates, key=_outstanding)


@policy("prefix_affinity", NoParameters)
class PrefixAffinity(_InOrder):
    """Selects the endpoint by rendezvous hashing of the program, regardless of its load."""

    def __init__(self, parameters: NoParameters) -> None:
        super().__init__(parameters)
        self._queues: dict[str, deque[ScheduledCall]] = {}
        self._queued_count = 0

    def admit(self, call: ScheduledCall, endpoints: Endpoints, now: float) -> Failure | None:
        """Queue the call for its endpoint."""
        candidates = usable_endpoints(endpoints.values(), call.request)
        name = self._select(candidates, call.request).name if candidates else ""
        self._queues.setdefault(name, deque()).append(call)
        self._queued_count += 1
        self._drain_estimate.call_queued(now)
        return None

    def remove(self, call: ScheduledCall) -> None:
        """Remove a call from its queue."""
        for queue in self._queues.values():
            if call in queue:
                queue.remove(call)
                self._queued_count -= 1

    def next_choice(self, endpoints: Endpoints, now: float) -> Choice | None:
        """Start the oldest call of an endpoint with a free slot."""
        for name, queue in self._queues.items():
            endpoint = endpoints.get(name)
            choice = None
            if queue and (endpoint is None or not endpoint.is_available):
                choice = self._next_choice_elsewhere(queue, endpoints)
            elif queue and endpoint is not None and endpoint.has_free_slot:
                choice = Choice(queue.popleft(), endpoint, "PrefixAffinity")
            if choice is not None:
                self._queued_count -= 1
                self._drain_estimate.call_started(now, still_queued=self._queued_count)
                return choice
        return None

    def queued(self) -> int:
        """Return the number of calls in all queues."""
        return self._queued_count

    def _next_choice_elsewhere(
        self, queue: deque[ScheduledCall], endpoints: Endpoints
    ) -> Choice | None:
        candidates = usable_endpoints(endpoints.values(), queue[0].request)
        if not candidates:
            return None
        endpoint = self._select(candidates, queue[0].request)
        if not endpoint.has_free_slot:
            return None
        return Choice(queue.popleft(), endpoint, "PrefixAffinity, its endpoint is not available")

    def _select(self, candidates: list[EndpointView], request: SlotRequest) -> EndpointView:
        return max(candidates, key=_rendezvous_hash(request.program))


@policy("fcfs", NoParameters)
class FirstComeFirstServed(_InOrder):
    """Selects the endpoint with the most free slots, in strict order of arrival."""

    def _select(self, candidates: list[EndpointView], request: SlotRequest) -> EndpointView:
        return max(candidates, key=_free_slots)


def _outstanding(view: EndpointView) -> int:
    return view.outstanding


def _free_slots(view: EndpointView) -> int:
    return int(view.limit) - view.outstanding


def _rendezvous_hash(program: str) -> Callable[[EndpointView], int]:
    def hash_value(view: EndpointView) -> int:
        return xxhash.xxh64_intdigest(f"{program}|{view.name}".encode())

    return hash_value
