"""The interface of a scheduling policy, and the registry of policies."""

from __future__ import annotations

import json
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple
from typing import Protocol
from typing import TypeVar

from pydantic import ValidationError

from bramleylead.errors import Failure
from bramleylead.node_settings import SchedulingSettings
from bramleylead.scheduling._endpoint_view import EndpointView
from bramleylead.scheduling._endpoint_view import ScheduledCall
from bramleylead.scheduling._types import SlotFinished
from bramleylead.validation import Strict

Endpoints = Mapping[str, EndpointView]


class Choice(NamedTuple):
    """The next call to start, its endpoint, and the reason."""

    call: ScheduledCall
    endpoint: EndpointView
    reason: str


class Policy(Protocol):
    """Schedules the calls of one pool. No method blocks."""

    def admit(self, call: ScheduledCall, endpoints: Endpoints, now: float) -> Failure | None:
        """Queue the call and return ``None``, or return why it is refused."""
        ...

    def remove(self, call: ScheduledCall) -> None:
        """Remove a queued call, because its caller gave up or its deadline has passed."""
        ...

    def next_choice(self, endpoints: Endpoints, now: float) -> Choice | None:
        """Remove the next call that should start now from the queue and return it."""
        ...

    def wake_at(self) -> float:
        """Return when to call :meth:`next_choice` again if no event occurs before."""
        ...

    def call_finished(
        self, call: ScheduledCall, endpoint: EndpointView, report: SlotFinished | None, now: float
    ) -> None:
        """Process the result of a call; without a report, its caller gave up or failed."""
        ...

    def queued(self) -> int:
        """Return the number of calls in the queue."""
        ...

    def expected_wait_s(self, *, new_program: bool) -> float:
        """Return the expected queueing time of a call that arrives now.

        :param new_program: whether it is the first call of a program.
        """
        ...

    def dump(self) -> dict[str, Any]:
        """Return the policy's own state for the dump."""
        ...


class PolicyEntry(NamedTuple):
    """A registered policy: the model of its parameters, and its factory."""

    parameters: type[Strict]
    factory: Callable[[Any], Policy]


_POLICIES: dict[str, PolicyEntry] = {}
_P = TypeVar("_P", bound=Callable[[Any], Policy])


def policy(name: str, parameters: type[Strict]) -> Callable[[_P], _P]:
    """Register a policy class under a name.

    :raises ValueError: if the name is taken.
    """

    def register(factory: _P) -> _P:
        if name in _POLICIES:
            raise ValueError(f"policy {name} is already registered")
        _POLICIES[name] = PolicyEntry(parameters, factory)
        return factory

    return register


def policy_names() -> list[str]:
    """Return the registered names in order of registration."""
    return list(_POLICIES)


def make_policy(settings: SchedulingSettings) -> Policy:
    """Create the policy named in the settings.

    :raises ValueError: if the name is unknown or a parameter is invalid.
    """
    entry = _POLICIES.get(settings.policy)
    if entry is None:
        raise ValueError(f"unknown policy {settings.policy!r}; one of {', '.join(_POLICIES)}")
    return entry.factory(policy_parameters(settings))


def policy_parameters(settings: SchedulingSettings) -> Strict:
    """Return the validated parameters of the policy named in the settings.

    :raises ValueError: if the name is unknown or a parameter is invalid.
    """
    entry = _POLICIES.get(settings.policy)
    if entry is None:
        raise ValueError(f"unknown policy {settings.policy!r}; one of {', '.join(_POLICIES)}")
    try:
        return entry.parameters.model_validate_json(json.dumps(settings.parameters))
    except ValidationError as error:
        first = error.errors()[0]
        path = ".".join(str(part) for part in first["loc"])
        message = f"scheduling.parameters.{path}: {first['msg']}"
        raise ValueError(message) from error
