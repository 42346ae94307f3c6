"""Messages and interfaces for slots. A slot is the right to run one call on one endpoint."""

from __future__ import annotations

from contextlib import AbstractAsyncContextManager
from typing import NamedTuple
from typing import Protocol

from result import Result

from bramleylead.connection import message
from bramleylead.errors import Failure


@message(40)
class SlotRequest(NamedTuple):
    """A request for a slot for one call.

    :param call: the call's name, ``program/number``.
    :param serves: name of the model, or the endpoint group of a plain service.
    :param region: region of the program's owner node.
    :param data_centre: data centre of the program's owner node.
    :param home_region: region in which the program prefers to run.
    :param weight: the branch's weight in the fair shares.
    :param prompt_tokens: length of the whole prompt in tokens; 0 for a tool call.
    :param expected_output_tokens: expected number of output tokens.
    :param attained: attained service: the cost of the program's calls so far, in tokens.
    :param cached: by endpoint, how many tokens of the program's prefix it last had in its cache.
    :param waited_s: how long the call has waited so far, in this and other pools.
    :param deadline_s: seconds left until the caller's deadline.
    :param avoid: endpoints on which this call has failed.
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
    expected_output_tokens: int
    attained: float
    cached: dict[str, int]
    waited_s: float
    deadline_s: float
    avoid: tuple[str, ...] = ()


@message(41)
class SlotGranted(NamedTuple):
    """A granted slot: the endpoint to use, and the reason for the choice as text for the dump."""

    endpoint: str
    address: str
    waited_s: float
    reason: str


@message(42)
class SlotFinished(NamedTuple):
    """The owner's report on a call, sent when it releases the slot.

    :param ok: whether the endpoint answered correctly.
    :param reached: whether the call reached the endpoint at all.
    :param first_token_s: time from sending the call to its first token; 0 for a tool call.
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
    """A granted slot, released when its context ends."""

    granted: SlotGranted

    def finish(self, report: SlotFinished) -> None:
        """Report the result of the call. Must be called before the context ends."""
        ...


class Scheduler(Protocol):
    """Grants slots through a dispatcher on this node or another one."""

    def slot(self, request: SlotRequest) -> AbstractAsyncContextManager[Result[Slot, Failure]]:
        """Wait for a slot; an ``Err`` means that the call did not run."""
        ...
