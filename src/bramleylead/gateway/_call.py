"""A caller's request in flight, and the outcomes of sending it to a replica."""

from __future__ import annotations

from typing import NamedTuple

import anyio

from bramleylead.customers import Customer
from bramleylead.gateway._fingerprint import Fingerprint
from bramleylead.gateway._replica_connection import ResponseHead
from bramleylead.http._exchange import Admit
from bramleylead.http._exchange import admit_all
from bramleylead.platform._types import CallMetadata
from bramleylead.platform._types import Configuration
from bramleylead.platform._types import Replica
from bramleylead.platform._types import Route

Headers = list[tuple[str, str]]
SERVER_ERROR_STATUS = 500


class Call(NamedTuple):
    """A complete request, with the route and the configuration that apply to it.

    :param deadline: the event loop's time by which the caller must have its final response.
    :param fingerprint: the same for each attempt of the same caller with the same body.
    :param customer: whose key the caller has; ``None`` on public routes and without customers.
    :param admit_response: asked for each part of a whole response, by its length, before it is
        kept for the caller.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    metadata: CallMetadata
    route: Route
    configuration: Configuration
    arrived_at: float
    deadline: float
    fingerprint: Fingerprint
    customer: Customer | None = None
    admit_response: Admit = admit_all

    @property
    def resumes_stream(self) -> bool:
        """Whether the caller resumes a stream that broke off after some events."""
        return self.route.resumable and bool(self.metadata.resume_after)

    @property
    def priority(self) -> int:
        """How urgent the request is; 0 is the most urgent."""
        if self.customer is None or self.customer.priority is None:
            return self.route.priority
        return self.customer.priority

    @property
    def turn_owner(self) -> str | None:
        """Whose turns the request may continue: a customer's, or if empty those of no customer.

        ``None`` if the configuration has no customers, so that turns belong to nobody.
        """
        if not self.configuration.customers.all:
            return None
        return "" if self.customer is None else self.customer.name

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline."""
        return self.deadline - anyio.current_time()


class CompleteResponse(NamedTuple):
    """A replica's complete response."""

    replica: Replica
    head: ResponseHead
    body: bytes

    @property
    def is_server_error(self) -> bool:
        """Whether the replica ran the request and reports that it failed."""
        return self.head.status >= SERVER_ERROR_STATUS


class NotRun(NamedTuple):
    """The request is known not to have run.

    :param counts_as_attempt: false if nothing was sent, or if another instance than the listed
        one answered at the replica's address.
    """

    detail: str
    counts_as_attempt: bool


class UnknownOutcome(NamedTuple):
    """The request may have run, but no complete response was received.

    :param connection_lost: whether the connection to the replica ended before the response did.
    :param path_lost: whether the cause is the path to the replica or this gateway rather
        than the replica.
    """

    detail: str
    connection_lost: bool = False
    path_lost: bool = False


Outcome = CompleteResponse | NotRun | UnknownOutcome
