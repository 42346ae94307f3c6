"""A replica's response whose head has been read, and how its body is read or discarded."""

from __future__ import annotations

from typing import NamedTuple

import anyio
import structlog

from bramleylead.gateway._call import CompleteResponse
from bramleylead.gateway._call import Outcome
from bramleylead.gateway._call import UnknownOutcome
from bramleylead.gateway._replica_connection import ReplicaConnection
from bramleylead.gateway._replica_connection import ResponseHead
from bramleylead.gateway._replica_connection import UpstreamError
from bramleylead.http._exchange import Admit
from bramleylead.platform._types import Replica
from bramleylead.platform._types import ResponseMetadata

DISCARD_TIMEOUT_S = 0.3
NOT_HELD_DETAIL = "the response is not held: too many bytes wait for callers that don't read"

log = structlog.get_logger()


class StartedResponse(NamedTuple):
    """A response whose head has been read; its body is still to be read from the connection."""

    replica: Replica
    connection: ReplicaConnection
    head: ResponseHead
    metadata: ResponseMetadata


def unknown_outcome(replica: Replica, error: UpstreamError) -> UnknownOutcome:
    """Return the outcome of a request whose response did not arrive completely."""
    return UnknownOutcome(f"{replica.name}: {error}", error.connection_lost, error.path_lost)


async def read_complete(response: StartedResponse, admit: Admit) -> Outcome:
    """Read the complete body of a response.

    :param admit: asked for each part, by its length, before it is kept. If it is not admitted, the
        request may have run, its response is lost, and the replica is not blamed.
    """
    chunks = []
    try:
        while (part := await response.connection.read_chunk()) is not None:
            if not admit(len(part)):
                log.info("response_not_held", replica=response.replica.name)
                detail = f"{response.replica.name}: {NOT_HELD_DETAIL}"
                return UnknownOutcome(detail, path_lost=True)
            chunks.append(part)
    except UpstreamError as error:
        return unknown_outcome(response.replica, error)
    return CompleteResponse(response.replica, response.head, b"".join(chunks))


async def discard_body(connection: ReplicaConnection) -> None:
    """Discard the body of a refusal, so that the connection can be reused, if it ends soon."""
    try:
        with anyio.move_on_after(DISCARD_TIMEOUT_S):
            await connection.discard_body()
    except UpstreamError as error:
        log.info("refusal_cut_off", reason=str(error))
