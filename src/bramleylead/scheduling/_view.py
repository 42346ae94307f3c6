"""What a dispatcher knows of its endpoints: own observations first, stale reports second."""

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
from bramleylead.scheduling._decayed import DecayedSum
from bramleylead.scheduling._types import SlotRequest
from bramleylead.scheduling._working_set import WorkingSet
from bramleylead.version import Endpoint

KEPT_PREFIXES = 4_096
"""Programs whose cached prefix is remembered an endpoint."""
INITIAL_PREFILL_S_PER_TOKEN = 0.0001
INITIAL_TOKEN_S = 0.02
LOAD_WINDOW_S = 20.0
"""Time over which an endpoint's prefill load is averaged."""
OBSERVATION_WEIGHT = 0.1
"""Weight of a new observation in a moving average."""


@dataclass(slots=True, eq=False)
class Waiting:
    """A call in a dispatcher's queue, and later the slot that it holds.

    :param signal: set when the call is decided, or must look after the queue's timer.
    :param over_share: whether it begins a program of a branch that was served over its share.
    :param missing: prompt tokens that its engine was believed not to hold when it started.
    :param backlog_s: prefill time that its engine had before it.
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
    charged: float = 0.0
    over_share: bool = False
    missing: int = 0
    backlog_s: float = 0.0

    @property
    def decided(self) -> bool:
        """Whether it has a slot or is refused."""
        return self.endpoint is not None or self.refusal is not None

    @property
    def reserve(self) -> int:
        """Tokens of engine memory that it needs while it runs."""
        return self.request.prompt_tokens + self.request.expected_output


def _new_prefilled() -> DecayedSum:
    return DecayedSum(LOAD_WINDOW_S)


@final
@dataclass(slots=True, eq=False)
class EndpointView:
    """One endpoint as its dispatcher sees it.

    :param limit: calls that it is given at once, at most ``max_calls``.
    :param probing: whether it was ejected and gets one call at a time until one goes well.
    :param evicted: programs known not to be held, whatever their owners remember.
    :param prefill_until: when it should have computed the prompts that it was given.
    :param held_tokens: sum of ``cached``.
    :param prefilled: seconds of prefill that it was given lately.
    :param in_use: prefixes used a short time ago.
    :param cached: tokens of each program's prefix that it is believed to hold, oldest use first.
    """

    name: str
    address: str
    max_calls: int
    leaving: bool = False
    limit: float = 0.0
    ejected: bool = False
    probing: bool = False
    running: dict[int, Waiting] = field(default_factory=dict)
    cached: OrderedDict[str, int] = field(default_factory=OrderedDict)
    evicted: OrderedDict[str, bool] = field(default_factory=OrderedDict)
    report: LoadReport | None = None
    reported_at: float = 0.0
    prefill_s_per_token: float = INITIAL_PREFILL_S_PER_TOKEN
    token_s: float = INITIAL_TOKEN_S
    prefill_until: float = 0.0
    held_tokens: int = 0
    first_token_s: float = 0.0
    in_use: WorkingSet = field(default_factory=WorkingSet)
    prefilled: DecayedSum = field(default_factory=_new_prefilled)
    next_sequence: int = 1
    granted_count: int = 0

    @property
    def outstanding(self) -> int:
        """Calls that this dispatcher has placed here and not seen end."""
        return len(self.running)

    @property
    def foreign(self) -> int:
        """Calls that the last report shows beyond ours: other users of the engine."""
        if self.report is None:
            return 0
        return max(0, self.report.running + self.report.waiting - len(self.running))

    @property
    def has_room(self) -> bool:
        """Whether one more call may start now."""
        if self.leaving or self.ejected:
            return False
        return len(self.running) < (1 if self.probing else int(self.limit))

    @property
    def open(self) -> bool:
        """Whether it may get calls at all."""
        return not self.leaving and not self.ejected

    def holds(self, request: SlotRequest) -> int:
        """Tokens of the call's prefix believed to be cached here."""
        known = self.cached.get(request.program)
        if known is None and request.program not in self.evicted:
            known = request.cached.get(self.name, 0)
        return min(known or 0, request.prompt_tokens)

    def remember(self, program: str, tokens: int) -> None:
        """Take in that a program's prefix is cached here; 0 tokens: it is not."""
        self.held_tokens += tokens - self.cached.pop(program, 0)
        self.evicted.pop(program, None)
        if tokens > 0:
            self.cached[program] = tokens
        else:
            self.in_use.drop(program)
            self.evicted[program] = True
        while len(self.evicted) > KEPT_PREFIXES:
            self.evicted.popitem(last=False)
        while len(self.cached) > KEPT_PREFIXES:
            self.held_tokens -= self.cached.popitem(last=False)[1]

    def begin(self, call: Waiting, now: float) -> None:
        """Take in that a call starts here; its prompt counts as held from now on."""
        call.missing = call.request.prompt_tokens - self.holds(call.request)
        call.backlog_s = self.backlog_s(now)
        own_s = call.missing * self.prefill_s_per_token
        self.prefill_until = now + call.backlog_s + own_s
        self.prefilled.add(own_s, now)
        self.running[call.serial] = call
        self.granted_count += 1
        if call.request.prompt_tokens > 0:
            self.remember(call.request.program, call.request.prompt_tokens)
            self.in_use.touch(call.request.program, call.reserve, now)

    def end(self, call: Waiting) -> None:
        """Take in that a call no longer runs here."""
        self.running.pop(call.serial, None)

    def backlog_s(self, now: float) -> float:
        """Return the prefill time still before a call that starts now."""
        return max(0.0, self.prefill_until - now) if self.running else 0.0

    def prefill_load(self, now: float) -> float:
        """Return the part of the last while that it spent on prompts, by its own speed."""
        return self.prefilled.value(now) / LOAD_WINDOW_S

    @property
    def memory_tokens(self) -> int:
        """Cache memory in tokens, 0 while no report has come."""
        return 0 if self.report is None else self.report.kv_total_tokens

    def observe_cache(self, page: CachePage) -> bool:
        """Take in cache events; ``False`` when some were missed and the contents must be read.

        An engine that restarted counts its events anew and holds nothing.
        """
        restarted = page.next_sequence < self.next_sequence
        gapless = not restarted and _is_gapless(page, self.next_sequence)
        whole = page.complete or gapless
        if page.complete:
            self.cached.clear()
            self.held_tokens = 0
        for event in page.events:
            self.remember(event.program, event.tokens if event.stored else 0)
        self.next_sequence = page.next_sequence
        return whole

    def observe_load(self, report: LoadReport, now: float) -> None:
        """Take in a load report, which was true ``age_s`` ago."""
        self.report = report
        self.reported_at = now - report.age_s

    def update(self, endpoint: Endpoint) -> None:
        """Take in a changed configuration."""
        self.address = endpoint.address
        self.max_calls = endpoint.max_calls
        self.leaving = endpoint.leaving
        self.limit = min(self.limit or endpoint.max_calls, endpoint.max_calls)


def _is_gapless(page: CachePage, expected: int) -> bool:
    for event in page.events:
        if event.sequence != expected:
            return False
        expected += 1
    return True


def new_view(name: str, endpoint: Endpoint) -> EndpointView:
    """Return the view of an endpoint that is not known yet."""
    view = EndpointView(name, endpoint.address, endpoint.max_calls)
    view.update(endpoint)
    return view


def usable(endpoints: Iterable[EndpointView], request: SlotRequest) -> list[EndpointView]:
    """Return the endpoints that the call may go to, those that failed it only if none is left."""
    allowed = [view for view in endpoints if not view.leaving and not view.ejected]
    if not request.avoid:
        return allowed
    fresh = [view for view in allowed if view.name not in request.avoid]
    return fresh or allowed
