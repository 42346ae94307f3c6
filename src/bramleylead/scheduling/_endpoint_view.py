"""A dispatcher's state for each endpoint, from its own calls and from delayed load reports."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from typing import final

import anyio

from bramleylead.backends import CachePage
from bramleylead.backends import LoadReport
from bramleylead.errors import Failure
from bramleylead.scheduling._served_shares import DecayedSum
from bramleylead.scheduling._types import SlotRequest
from bramleylead.scheduling._working_set import WorkingSet
from bramleylead.version import Endpoint

MAX_TRACKED_PREFIXES = 4_096
"""Maximum number of programs per endpoint whose cached prefix is tracked."""
INITIAL_PREFILL_S_PER_TOKEN = 0.0001
INITIAL_TOKEN_S = 0.02
LOAD_WINDOW_S = 20.0
"""Time constant over which an endpoint's prefill load is averaged."""
OBSERVATION_WEIGHT = 0.1
"""Weight of a new observation in a moving average."""


@dataclass(slots=True, eq=False)
class ScheduledCall:
    """A call in a dispatcher's queue, and then in the slot that it was granted.

    :param signal: set when the call is granted or refused, or has to take over the queue's timer as
        the oldest queued call.
    :param over_share: whether it is the first call of a program whose branch recently received more
        than its fair share.
    :param missing_tokens: prompt tokens that, as far as known, were not in the engine's cache when
        the call started.
    :param backlog_s: prefill time of the calls ahead of it on the engine when it started.
    """

    request: SlotRequest
    serial: int
    enqueued_at: float
    deadline_at: float
    signal: anyio.Event
    endpoint: EndpointView | None = None
    granted_at: float = 0.0
    reason: str = ""
    refusal: Failure | None = None
    charged_cost: float = 0.0
    over_share: bool = False
    missing_tokens: int = 0
    backlog_s: float = 0.0

    @property
    def is_decided(self) -> bool:
        """Whether the call has been granted a slot or refused."""
        return self.endpoint is not None or self.refusal is not None

    @property
    def needed_tokens(self) -> int:
        """Tokens of engine memory that the call needs while it runs."""
        return self.request.prompt_tokens + self.request.expected_output_tokens


def _new_recent_prefill() -> DecayedSum:
    return DecayedSum(LOAD_WINDOW_S)


@final
@dataclass(slots=True, eq=False)
class EndpointView:
    """A dispatcher's state for one endpoint.

    :param limit: maximum number of concurrent calls, at most ``max_calls``.
    :param probing: whether it returns from an ejection and gets one call at a time until one
        succeeds.
    :param evicted: programs known not to be cached. This overrides what their owners last knew.
    :param prefill_until: expected time at which the prefill of all its calls is done.
    :param total_cached_tokens: sum of the values of ``cached``.
    :param recent_prefill_s: recently assigned prefill time in seconds, decaying.
    :param working_set: working set of recently used prefixes.
    :param cached: estimated number of cached prefix tokens by program, least recently used first.
    """

    name: str
    address: str
    max_calls: int
    leaving: bool = False
    limit: float = 0.0
    ejected: bool = False
    probing: bool = False
    running: dict[int, ScheduledCall] = field(default_factory=dict)
    cached: OrderedDict[str, int] = field(default_factory=OrderedDict)
    evicted: OrderedDict[str, bool] = field(default_factory=OrderedDict)
    report: LoadReport | None = None
    reported_at: float = 0.0
    prefill_s_per_token: float = INITIAL_PREFILL_S_PER_TOKEN
    token_s: float = INITIAL_TOKEN_S
    prefill_until: float = 0.0
    total_cached_tokens: int = 0
    first_token_s: float = 0.0
    working_set: WorkingSet = field(default_factory=WorkingSet)
    recent_prefill_s: DecayedSum = field(default_factory=_new_recent_prefill)
    next_sequence: int = 1
    granted_count: int = 0

    @property
    def outstanding(self) -> int:
        """Number of calls that this dispatcher has started here and that have not ended."""
        return len(self.running)

    @property
    def external_calls(self) -> int:
        """Number of calls in the last load report that this dispatcher did not start."""
        if self.report is None:
            return 0
        return max(0, self.report.running + self.report.waiting - len(self.running))

    @property
    def has_free_slot(self) -> bool:
        """Whether one more call may start now."""
        if self.leaving or self.ejected:
            return False
        return len(self.running) < (1 if self.probing else int(self.limit))

    @property
    def is_available(self) -> bool:
        """Whether the endpoint may get new calls: it is neither leaving nor ejected."""
        return not self.leaving and not self.ejected

    def cached_prefix_tokens(self, request: SlotRequest) -> int:
        """Return the estimated number of tokens of the call's prefix that are cached here."""
        cached_tokens = self.cached.get(request.program)
        if cached_tokens is None and request.program not in self.evicted:
            cached_tokens = request.cached.get(self.name, 0)
        return min(cached_tokens or 0, request.prompt_tokens)

    def set_cached_tokens(self, program: str, tokens: int) -> None:
        """Record how many tokens of a program's prefix are cached here; 0 if none."""
        self.total_cached_tokens += tokens - self.cached.pop(program, 0)
        self.evicted.pop(program, None)
        if tokens > 0:
            self.cached[program] = tokens
        else:
            self.working_set.drop(program)
            self.evicted[program] = True
        while len(self.evicted) > MAX_TRACKED_PREFIXES:
            self.evicted.popitem(last=False)
        while len(self.cached) > MAX_TRACKED_PREFIXES:
            self.total_cached_tokens -= self.cached.popitem(last=False)[1]

    def start_call(self, call: ScheduledCall, now: float) -> None:
        """Record that a call starts here. Its prompt counts as cached from now on."""
        call.missing_tokens = call.request.prompt_tokens - self.cached_prefix_tokens(call.request)
        call.backlog_s = self.backlog_s(now)
        prefill_s = call.missing_tokens * self.prefill_s_per_token
        self.prefill_until = now + call.backlog_s + prefill_s
        self.recent_prefill_s.add(prefill_s, now)
        self.running[call.serial] = call
        self.granted_count += 1
        if call.request.prompt_tokens > 0:
            self.set_cached_tokens(call.request.program, call.request.prompt_tokens)
            self.working_set.touch(call.request.program, call.needed_tokens, now)

    def end_call(self, call: ScheduledCall) -> None:
        """Record that a call no longer runs here."""
        self.running.pop(call.serial, None)

    def backlog_s(self, now: float) -> float:
        """Return the remaining prefill time ahead of a call that starts now."""
        return max(0.0, self.prefill_until - now) if self.running else 0.0

    def prefill_load(self, now: float) -> float:
        """Return the share of recent time spent on prefill, estimated from the engine's speed."""
        return self.recent_prefill_s.value(now) / LOAD_WINDOW_S

    @property
    def memory_tokens(self) -> int:
        """Size of the cache memory in tokens; 0 until the first load report."""
        return 0 if self.report is None else self.report.kv_total_tokens

    def observe_cache(self, page: CachePage) -> bool:
        """Apply cache events. ``False`` if some are missing and the contents must be read.

        A restarted engine numbers its events from the start again, and its cache is empty.
        """
        restarted = page.next_sequence < self.next_sequence
        is_contiguous = not restarted and _has_no_gap(page, self.next_sequence)
        is_complete = page.complete or is_contiguous
        if page.complete:
            self.cached.clear()
            self.total_cached_tokens = 0
        for event in page.events:
            self.set_cached_tokens(event.program, event.tokens if event.stored else 0)
        self.next_sequence = page.next_sequence
        return is_complete

    def observe_load(self, report: LoadReport, now: float) -> None:
        """Store a load report, which describes the state ``age_s`` ago."""
        self.report = report
        self.reported_at = now - report.age_s

    def update(self, endpoint: Endpoint) -> None:
        """Apply a changed configuration."""
        self.address = endpoint.address
        self.max_calls = endpoint.max_calls
        self.leaving = endpoint.leaving
        self.limit = min(self.limit or endpoint.max_calls, endpoint.max_calls)


def _has_no_gap(page: CachePage, expected_sequence: int) -> bool:
    for event in page.events:
        if event.sequence != expected_sequence:
            return False
        expected_sequence += 1
    return True


def new_endpoint_view(name: str, endpoint: Endpoint) -> EndpointView:
    """Return the initial state of a new endpoint."""
    view = EndpointView(name, endpoint.address, endpoint.max_calls)
    view.update(endpoint)
    return view


def usable_endpoints(endpoints: Iterable[EndpointView], request: SlotRequest) -> list[EndpointView]:
    """Return the endpoints that may run the call.

    Endpoints on which it has failed are included only if there are no others.
    """
    allowed = [view for view in endpoints if not view.leaving and not view.ejected]
    if not request.avoid:
        return allowed
    untried = [view for view in allowed if view.name not in request.avoid]
    return untried or allowed
