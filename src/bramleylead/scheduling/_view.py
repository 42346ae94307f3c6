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
from bramleylead.scheduling._types import SlotRequest
from bramleylead.version import Endpoint

KEPT_PREFIXES = 4_096
"""Programs whose cached prefix is remembered an endpoint."""
INITIAL_PREFILL_S_PER_TOKEN = 0.0001
INITIAL_TOKEN_S = 0.02
OBSERVATION_WEIGHT = 0.1
"""Weight of a new observation in a moving average."""


@dataclass(slots=True, eq=False)
class Waiting:
    """A call in a dispatcher's queue, and later the slot that it holds."""

    request: SlotRequest
    serial: int
    enqueued_at: float
    deadline_at: float
    granted: anyio.Event
    endpoint: EndpointView | None = None
    granted_at: float = 0.0
    reason: str = ""
    refusal: Failure | None = None
    reconsider_at: float = float("inf")
    charged: float = 0.0
    expected_end: float = 0.0


@final
@dataclass(slots=True, eq=False)
class EndpointView:
    """One endpoint as its dispatcher sees it.

    :param limit: calls that it is given at once, at most ``max_calls``.
    :param probing: whether it was ejected and gets one call at a time until one goes well.
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
    report: LoadReport | None = None
    reported_at: float = 0.0
    prefill_s_per_token: float = INITIAL_PREFILL_S_PER_TOKEN
    token_s: float = INITIAL_TOKEN_S
    first_token_s: float = 0.0
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
        return max(0, self.report.running + self.report.waiting - self.outstanding)

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
        if known is None:
            known = request.cached.get(self.name, 0)
        return min(known, request.prompt_tokens)

    def remember(self, program: str, tokens: int) -> None:
        """Take in that a program's prefix is cached here; 0 tokens: it is not."""
        self.cached[program] = tokens
        self.cached.move_to_end(program)
        while len(self.cached) > KEPT_PREFIXES:
            self.cached.popitem(last=False)

    def observe_cache(self, page: CachePage) -> bool:
        """Take in cache events; ``False`` when some were missed and the contents must be read."""
        whole = page.complete or _is_gapless(page, self.next_sequence)
        if page.complete:
            self.cached.clear()
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
    allowed = [view for view in endpoints if view.open]
    fresh = [view for view in allowed if view.name not in request.avoid]
    return fresh or allowed
