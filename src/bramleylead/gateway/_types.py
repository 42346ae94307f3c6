"""What a gateway knows of its deployment and of a request, in the product's own words."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class CallKind(StrEnum):
    """What may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Share(NamedTuple):
    """One service of a route, with its share of the route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of one host and path prefix go.

    :param attempts: how many replicas one request may be sent to.
    :param timeout_s: within this time the caller has a final answer.
    :param objective_s: within this time an answer is on time.
    :param rank: urgency; 0 is the most urgent.
    :param keeps_turns: whether a turn carries only its new input and continues a kept one.
    :param keep_turns_s: how long a kept turn must be found.
    :param resumable: whether a broken stream may go on at another replica.
    """

    name: str
    host: str
    prefix: str
    kind: CallKind
    shares: tuple[Share, ...]
    attempts: int
    timeout_s: float
    objective_s: float
    rank: int
    keeps_turns: bool
    keep_turns_s: float
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is CallKind.SAFE


class EngineSpec(NamedTuple):
    """How the model replicas of a service work.

    :param slots: requests that run at once.
    :param cache_tokens: memory for running requests and cached prompts.
    :param event_tokens: tokens that one event of a stream counts for in budgets.
    """

    slots: int
    cache_tokens: int
    event_tokens: int


class Service(NamedTuple):
    """A group of replicas that do the same work.

    :param max_connections: what one replica accepts from all callers together.
    :param engine: ``None`` for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None


class Limits(NamedTuple):
    """What a caller may send, and how long its connection may stay idle."""

    header_bytes: int
    body_bytes: int
    header_s: float
    idle_s: float


class Configuration(NamedTuple):
    """One version of the deployment's configuration, whole."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path among those of a host."""
        fitting = [
            route for route in self.routes if route.host == host and path.startswith(route.prefix)
        ]
        return max(fitting, key=lambda route: len(route.prefix), default=None)


class Replica(NamedTuple):
    """One entry of the list of replicas.

    :param name: its identity; a replica that starts again mostly has another.
    :param leaving: whether it takes no new work.
    :param slots: requests that it runs at once; 0 if unknown.
    """

    name: str
    service: str
    address: str
    data_centre: str
    leaving: bool
    slots: int


class PromptPart(NamedTuple):
    """A part of a prompt that other requests may share, and its length in tokens."""

    name: str
    tokens: int


class CallFacts(NamedTuple):
    """What a caller says about its request in headers.

    :param deadline_s: how long the caller waits; ``None`` if it did not say.
    :param program: empty outside of programs.
    :param finish_s: time in which the program should be finished.
    :param budget_tokens: what all turns of the program may generate; ``None`` without a budget.
    :param most_tokens: the most that this turn generates.
    :param previous: the turn that this one continues; empty at the start of a chain.
    :param resume_after: the last event that the caller has of a stream that broke; empty if none.
    """

    request: str
    deadline_s: float | None
    program: str
    session: str
    finish_s: float | None
    budget_tokens: int | None
    prompt_tokens: int
    most_tokens: int
    previous: str
    resume_after: str
    prompt: tuple[PromptPart, ...]


class Load(NamedTuple):
    """What a replica tells of its load with an answer."""

    running: int
    waiting: int
    slots: int


class AnswerFacts(NamedTuple):
    """What a replica says about its answer in headers.

    :param request: the request that it answers; empty if it does not say.
    :param signed: whether it bears the replica's signature.
    :param not_run: whether the replica says that the request did not run.
    :param encoded: whether the body is in an encoding that nobody asked for.
    :param keep_alive_s: how long the replica keeps an idle connection; ``None`` if untold.
    """

    request: str
    signed: bool
    not_run: bool
    encoded: bool
    load: Load | None
    keep_alive_s: float | None
