"""Decoded types of the platform: configuration, replicas, metadata of requests and responses."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from bramleylead.customers import Customers


class CallKind(StrEnum):
    """Kinds of requests, by whether and how they may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Share(NamedTuple):
    """A service of a route, with its weight among the route's services."""

    service: str
    weight: float


class Route(NamedTuple):
    """How requests of one host and path prefix are handled.

    :param max_attempts: to how many replicas one request may be sent.
    :param timeout_s: time within which the caller must have a final response.
    :param target_latency_s: a response within this time is on time.
    :param priority: 0 is the most urgent.
    :param retains_turns: whether turns are stored, so that a later turn sends only its new input.
    :param turn_retention_s: how long a stored turn must remain available.
    :param resumable: whether a broken stream may be continued at another replica.
    :param sticky: whether a replica works faster on what it has handled recently.
    :param public: whether callers need no key, also if the configuration has customers.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    shares: tuple[Share, ...]
    max_attempts: int
    timeout_s: float
    target_latency_s: float
    priority: int
    retains_turns: bool
    turn_retention_s: float
    resumable: bool
    sticky: bool = False
    public: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is CallKind.SAFE

    @property
    def idempotent(self) -> bool:
        """Whether a request may go on at another replica after its connection was lost."""
        return self.repeatable or self.resumable


class EngineSpec(NamedTuple):
    """Capacity and token accounting of the model replicas of a service.

    :param slots: requests that a replica runs at once.
    :param cache_tokens: memory for running requests and cached prompts, in tokens.
    :param tokens_per_event: tokens that one event of a stream counts as in budgets.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int


class Service(NamedTuple):
    """A group of interchangeable replicas.

    :param max_connections: connections that one replica accepts from all clients together.
    :param engine: ``None`` for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None


class Limits(NamedTuple):
    """Limits on callers' requests and connections."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Configuration(NamedTuple):
    """One complete version of the deployment's configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits
    customers: Customers = Customers()

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix that matches a path."""
        matching = [
            route
            for route in self.routes
            if route.host == host and path.startswith(route.path_prefix)
        ]
        return max(matching, key=lambda route: len(route.path_prefix), default=None)


class Software(NamedTuple):
    """What software writes a stream: a service, and the version of its replicas' software.

    Neither the version of a model's weights nor that of the configuration.
    """

    service: str
    version: str


NO_SOFTWARE = Software("", "")


class Replica(NamedTuple):
    """One entry of the list of replicas.

    :param name: its identity; a restarted replica usually has a new one.
    :param leaving: whether it accepts no new requests.
    :param slots: requests that it runs at once; 0 if unknown.
    :param software_version: version of the software that it runs.
    """

    name: str
    service: str
    address: str
    data_centre: str
    leaving: bool
    slots: int
    software_version: str = ""

    @property
    def software(self) -> Software:
        """The software that writes its streams."""
        return Software(self.service, self.software_version)


class PromptPart(NamedTuple):
    """A part of a prompt that other requests may share, and its length in tokens."""

    name: str
    tokens: int


class CallMetadata(NamedTuple):
    """Metadata of a request, from the caller's headers.

    :param deadline_s: how long the caller waits; ``None`` if not specified.
    :param program: empty outside of programs.
    :param finish_s: time within which the program should finish.
    :param budget_tokens: output limit of all the program's turns; ``None`` without a budget.
    :param max_output_tokens: the most tokens that this turn generates.
    :param previous_turn: the turn that this one continues; empty at the start of a chain.
    :param resume_after: id of the last event received from a broken stream; empty if none.
    :param resumed_request: the request that brought the first event of that stream.
    :param affinity: identifies the object that the request concerns; empty if not specified.
    """

    request_id: str
    deadline_s: float | None
    program: str
    session: str
    finish_s: float | None
    budget_tokens: int | None
    prompt_tokens: int
    max_output_tokens: int
    previous_turn: str
    resume_after: str
    prompt: tuple[PromptPart, ...]
    affinity: str = ""
    resumed_request: str = ""


class Load(NamedTuple):
    """The load that a replica reports with a response.

    :param slowdown: how long work takes there now, relative to the usual time; ``None`` if the
        replica doesn't report it.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


class ResponseMetadata(NamedTuple):
    """Metadata of a response, from the replica's headers.

    :param request_id: the request that it answers; empty if not specified.
    :param signed: whether it carries the replica's signature.
    :param not_run: whether the replica reports that the request did not run.
    :param encoded: whether the body has a content encoding that was not requested.
    :param keep_alive_s: how long the replica keeps idle connections; ``None`` if not specified.
    :param leaving: whether the replica announces that it takes no further requests.
    :param limit_per_s: the requests a second that the replica takes from all gateways together;
        ``None`` if it names no limit.
    """

    request_id: str
    signed: bool
    not_run: bool
    encoded: bool
    load: Load | None
    keep_alive_s: float | None
    leaving: bool = False
    limit_per_s: float | None = None
