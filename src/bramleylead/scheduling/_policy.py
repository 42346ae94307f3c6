"""The interface of a scheduling policy, and the registry that decorators fill."""

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
from bramleylead.scheduling._types import SlotFinished
from bramleylead.scheduling._view import EndpointView
from bramleylead.scheduling._view import Waiting
from bramleylead.version._schema import Strict

Endpoints = Mapping[str, EndpointView]


class Choice(NamedTuple):
    """The next call to start, where, and why."""

    call: Waiting
    endpoint: EndpointView
    reason: str


class Policy(Protocol):
    """Decides for one pool. Every method runs to its end without waiting."""

    def admit(self, call: Waiting, endpoints: Endpoints, now: float) -> Failure | None:
        """Refuse a call before any work, or return ``None`` and queue it."""
        ...

    def remove(self, call: Waiting) -> None:
        """Take a queued call out: its caller gave up, or it was shed."""
        ...

    def next(self, endpoints: Endpoints, now: float) -> Choice | None:
        """Take the next call that should start now out of the queue."""
        ...

    def wake_at(self) -> float:
        """Return when :meth:`next` may find something without an event, after it found nothing."""
        ...

    def finished(
        self, call: Waiting, endpoint: EndpointView, report: SlotFinished | None, now: float
    ) -> None:
        """Take in how a call went; no report means that its caller gave up or was lost."""
        ...

    def queued(self) -> int:
        """Return the number of calls in the queue."""
        ...

    def expected_wait_s(self, *, new: bool) -> float:
        """Return the wait in the queue of a call that comes now, of a new program or another."""
        ...

    def dump(self) -> dict[str, Any]:
        """Return the policy's own state for the dump."""
        ...


class PolicyEntry(NamedTuple):
    """A registered policy: the model of its parameters, and how it is made from them."""

    parameters: type[Strict]
    make: Callable[[Any], Policy]


_POLICIES: dict[str, PolicyEntry] = {}
_P = TypeVar("_P", bound=Callable[[Any], Policy])


def policy(name: str, parameters: type[Strict]) -> Callable[[_P], _P]:
    """Register a policy class under a name.

    :raises ValueError: if the name is taken.
    """

    def register(make: _P) -> _P:
        if name in _POLICIES:
            raise ValueError(f"policy {name} is registered already")
        _POLICIES[name] = PolicyEntry(parameters, make)
        return make

    return register


def policy_names() -> list[str]:
    """Return the registered names in order of registration."""
    return list(_POLICIES)


def make_policy(settings: SchedulingSettings) -> Policy:
    """Make the policy that the settings name.

    :raises ValueError: if the name is unknown or a parameter is wrong.
    """
    entry = _POLICIES.get(settings.policy)
    if entry is None:
        raise ValueError(f"unknown policy {settings.policy!r}; one of {', '.join(_POLICIES)}")
    return entry.make(policy_parameters(settings))


def policy_parameters(settings: SchedulingSettings) -> Strict:
    """Return the checked parameters of the policy that the settings name.

    :raises ValueError: if the name is unknown or a parameter is wrong.
    """
    entry = _POLICIES.get(settings.policy)
    if entry is None:
        raise ValueError(f"unknown policy {settings.policy!r}; one of {', '.join(_POLICIES)}")
    try:
        return entry.parameters.model_validate_json(json.dumps(settings.parameters))
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        message = f"scheduling.parameters.{place}: {first['msg']}"
        raise ValueError(message) from error
