"""Simple policies to measure against: each takes calls in the order in which they came."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

import xxhash

from bramleylead.errors import Failure
from bramleylead.scheduling._news import DrainEstimate
from bramleylead.scheduling._policy import Choice
from bramleylead.scheduling._policy import Endpoints
from bramleylead.scheduling._policy import policy
from bramleylead.scheduling._types import SlotFinished
from bramleylead.scheduling._types import SlotRequest
from bramleylead.scheduling._view import EndpointView
from bramleylead.scheduling._view import Waiting
from bramleylead.scheduling._view import usable
from bramleylead.version._schema import Strict


class NoParameters(Strict):
    """The baselines take no parameters."""


class _InOrder:
    """Starts calls in order of arrival, at the endpoint that a subclass picks."""

    def __init__(self, parameters: NoParameters) -> None:
        self._queue: deque[Waiting] = deque()
        self._drain = DrainEstimate()

    def admit(self, call: Waiting, endpoints: Endpoints, now: float) -> Failure | None:
        """Queue the call."""
        self._queue.append(call)
        self._drain.queued(now)
        return None

    def remove(self, call: Waiting) -> None:
        """Take a call out of the queue."""
        if call in self._queue:
            self._queue.remove(call)

    def next(self, endpoints: Endpoints, now: float) -> Choice | None:
        """Start the oldest call if the endpoint picked for it has room."""
        if not self._queue:
            return None
        call = self._queue[0]
        candidates = usable(endpoints.values(), call.request)
        if not candidates:
            return None
        endpoint = self._pick(candidates, call.request)
        if not endpoint.has_room:
            return None
        self._queue.popleft()
        self._started()
        self._drain.started(now, left=len(self._queue))
        return Choice(call, endpoint, type(self).__name__)

    def wake_at(self) -> float:
        """Return infinity: nothing changes without an event."""
        return float("inf")

    def finished(
        self, call: Waiting, endpoint: EndpointView, report: SlotFinished | None, now: float
    ) -> None:
        """Learn nothing."""

    def queued(self) -> int:
        """Return the length of the queue."""
        return len(self._queue)

    def expected_wait_s(self, *, new: bool) -> float:
        """Return the wait behind the whole queue."""
        return self._drain.expected_wait_s(self.queued())

    def dump(self) -> dict[str, Any]:
        """Return nothing: there is no state beside the queue."""
        return {}

    def _pick(self, candidates: list[EndpointView], request: SlotRequest) -> EndpointView:
        raise NotImplementedError

    def _started(self) -> None:
        pass


@policy("round_robin", NoParameters)
class RoundRobin(_InOrder):
    """Endpoints take turns."""

    def __init__(self, parameters: NoParameters) -> None:
        super().__init__(parameters)
        self._turn = 0

    def _pick(self, candidates: list[EndpointView], request: SlotRequest) -> EndpointView:
        return candidates[self._turn % len(candidates)]

    def _started(self) -> None:
        self._turn += 1


@policy("least_outstanding", NoParameters)
class LeastOutstanding(_InOrder):
    """The endpoint with the fewest calls in progress."""

    def _pick(self, candidates: list[EndpointView], request: SlotRequest) -> EndpointView:
        return min(candidates, key=_outstanding)


@policy("prefix_affinity", NoParameters)
class PrefixAffinity(_InOrder):
    """The endpoint that wins the rendezvous hash of the program, however busy it is."""

    def __init__(self, parameters: NoParameters) -> None:
        super().__init__(parameters)
        self._queues: dict[str, deque[Waiting]] = {}
        self._count = 0

    def admit(self, call: Waiting, endpoints: Endpoints, now: float) -> Failure | None:
        """Queue the call at its own endpoint."""
        candidates = usable(endpoints.values(), call.request)
        name = self._pick(candidates, call.request).name if candidates else ""
        self._queues.setdefault(name, deque()).append(call)
        self._count += 1
        self._drain.queued(now)
        return None

    def remove(self, call: Waiting) -> None:
        """Take a call out of its queue."""
        for queue in self._queues.values():
            if call in queue:
                queue.remove(call)
                self._count -= 1

    def next(self, endpoints: Endpoints, now: float) -> Choice | None:
        """Start the oldest call of an endpoint with room."""
        for name, queue in self._queues.items():
            endpoint = endpoints.get(name)
            choice = None
            if queue and (endpoint is None or not endpoint.open):
                choice = self._next_elsewhere(queue, endpoints)
            elif queue and endpoint is not None and endpoint.has_room:
                choice = Choice(queue.popleft(), endpoint, "PrefixAffinity")
            if choice is not None:
                self._count -= 1
                self._drain.started(now, left=self._count)
                return choice
        return None

    def queued(self) -> int:
        """Return the calls in all queues."""
        return self._count

    def _next_elsewhere(self, queue: deque[Waiting], endpoints: Endpoints) -> Choice | None:
        candidates = usable(endpoints.values(), queue[0].request)
        if not candidates:
            return None
        endpoint = self._pick(candidates, queue[0].request)
        if not endpoint.has_room:
            return None
        return Choice(queue.popleft(), endpoint, "PrefixAffinity, own endpoint closed")

    def _pick(self, candidates: list[EndpointView], request: SlotRequest) -> EndpointView:
        return max(candidates, key=_hash_for(request.program))


@policy("fcfs", NoParameters)
class FirstComeFirstServed(_InOrder):
    """The endpoint with the most free slots, in strict order of arrival."""

    def _pick(self, candidates: list[EndpointView], request: SlotRequest) -> EndpointView:
        return max(candidates, key=_free_slots)


def _outstanding(view: EndpointView) -> int:
    return view.outstanding


def _free_slots(view: EndpointView) -> int:
    return int(view.limit) - view.outstanding


def _hash_for(program: str) -> Callable[[EndpointView], int]:
    def value(view: EndpointView) -> int:
        return xxhash.xxh64_intdigest(f"{program}|{view.name}".encode())

    return value
