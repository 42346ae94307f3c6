"""One request of a caller while it is under way."""

from __future__ import annotations

from typing import NamedTuple

import anyio

from bramleylead.gateway._types import CallFacts
from bramleylead.gateway._types import Configuration
from bramleylead.gateway._types import Replica
from bramleylead.gateway._types import Route
from bramleylead.gateway._upstream import ResponseHead

Headers = list[tuple[str, str]]
SERVER_ERROR_STATUS = 500


class Call(NamedTuple):
    """A request, whole, and what decides its way.

    :param ends_at: when the caller must have its final answer, by the event loop's clock.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    facts: CallFacts
    route: Route
    configuration: Configuration
    arrived_at: float
    ends_at: float

    @property
    def left_s(self) -> float:
        """How long the caller still waits."""
        return self.ends_at - anyio.current_time()


class WholeAnswer(NamedTuple):
    """A replica's answer, whole."""

    replica: Replica
    head: ResponseHead
    body: bytes

    @property
    def failed(self) -> bool:
        """Whether the replica ran the request and says that it failed."""
        return self.head.status >= SERVER_ERROR_STATUS


class NotRun(NamedTuple):
    """The request certainly did not run at a replica.

    :param sent: whether it was offered to the replica that the list names.
    """

    detail: str
    sent: bool


class Unknown(NamedTuple):
    """The request may have run; no whole answer came."""

    detail: str


Outcome = WholeAnswer | NotRun | Unknown
