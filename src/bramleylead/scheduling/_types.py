"""What owners and dispatchers say about slots: rights to run a call on an endpoint."""

from __future__ import annotations

from contextlib import AbstractAsyncContextManager
from typing import NamedTuple
from typing import Protocol

from result import Result

from bramleylead.connection import message
from bramleylead.errors import Failure


@message(40)
class SlotRequest(NamedTuple):
    """A call that wants a slot.

    :param call: ``program/number``.
    :param serves: the model's name, or the endpoint group of a plain service.
    :param region: where the owner is.
    :param data_centre: where the owner is.
    :param home_region: where the program prefers to run.
    :param weight: the branch's weight.
    :param prompt_tokens: length of the whole prompt (0 for a tool call).
    :param expected_output: expected output tokens.
    :param attained: the program's served cost so far, in token units.
    :param cached: tokens of the program's prefix that each endpoint was last known to hold.
    :param waited_s: how long the call has waited already, at this or other pools.
    :param deadline_s: seconds left until the caller's deadline.
    :param avoid: endpoints that failed this call.
    """

    call: str
    program: str
    branch: str
    serves: str
    region: str
    data_centre: str
    home_region: str
    weight: float
    prompt_tokens: int
    expected_output: int
    attained: float
    cached: dict[str, int]
    waited_s: float
    deadline_s: float
    avoid: tuple[str, ...] = ()


@message(41)
class SlotGranted(NamedTuple):
    """The answer: the endpoint to use, and the reason in words for the dump."""

    endpoint: str
    address: str
    waited_s: float
    reason: str


@message(42)
class SlotFinished(NamedTuple):
    """What the owner saw when it gave the slot back.

    :param ok: whether the endpoint answered as it should.
    :param reached: whether the call reached the endpoint at all.
    :param first_token_s: from sending to the first token; 0 for a tool call.
    """

    endpoint: str
    ok: bool
    first_token_s: float = 0.0
    duration_s: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    reached: bool = True


class Slot(Protocol):
    """A granted slot; leaving its context gives it back."""

    granted: SlotGranted

    def finish(self, report: SlotFinished) -> None:
        """Say how the call went, before leaving the context."""
        ...


class Scheduler(Protocol):
    """Grants slots, from a dispatcher here or on another node."""

    def slot(self, request: SlotRequest) -> AbstractAsyncContextManager[Result[Slot, Failure]]:
        """Wait for a slot; an ``Err`` means that the call did not run."""
        ...
