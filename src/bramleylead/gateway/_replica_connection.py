"""What a connection to a replica offers, directly or through another gateway, and its errors."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import Generic
from typing import NamedTuple
from typing import Protocol
from typing import TypeVar
from typing import final

import anyio
from anyio.abc import TaskGroup
from result import Err
from result import Ok
from result import Result

from bramleylead.gateway._replica_streams import ConnectFailure

SMALL_BODY_BYTES = 16_384
"""With a head of at most 32,000 bytes it stays below the 64 KiB from which a transport waits."""

Headers = list[tuple[str, str]]


class UpstreamError(Exception):
    """No complete response was received.

    :param connection_lost: whether the connection ended before the response did.
    :param path_lost: whether this process gave up the connection because nothing passes on it.
    """

    def __init__(
        self, detail: str, *, connection_lost: bool = False, path_lost: bool = False
    ) -> None:
        super().__init__(detail)
        self.connection_lost = connection_lost
        self.path_lost = path_lost


class NotSentError(UpstreamError):
    """No byte of the request has been sent to the replica.

    :param unreached: whether the replica could not be reached.
    """

    def __init__(self, detail: str, *, unreached: bool) -> None:
        super().__init__(detail)
        self.unreached = unreached


class ResponseHead(NamedTuple):
    """Status and headers of a response; names are in lower case."""

    status: int
    headers: Headers

    @property
    def media_type(self) -> str:
        """The type of the body, without parameters; empty if not specified."""
        return self.header_map().get("content-type", "").partition(";")[0].strip().lower()

    def header_map(self) -> dict[str, str]:
        """Return the headers by name."""
        return dict(self.headers)


class RequestHead(NamedTuple):
    """Method, target and headers of a request, and its id, which identifies the response."""

    method: str
    target: str
    headers: Headers
    request_id: str


class ReplicaConnection(Protocol):
    """Carries a request to a replica, directly or through another gateway."""

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on it."""
        ...

    def start_request(self, head: RequestHead, body: bytes) -> bytes:
        """Start a request and return the bytes to pass to :meth:`send`."""
        ...

    async def send(self, data: bytes) -> None:
        """Send the bytes of a request."""
        ...

    async def read_head(self) -> ResponseHead:
        """Wait for the head of the response."""
        ...

    async def read_chunk(self) -> bytes | None:
        """Return the next chunk of the body, or ``None`` at its end."""
        ...

    async def discard_body(self) -> None:
        """Read to the end of the body."""
        ...

    async def aclose(self) -> None:
        """Close it at once; the replica then stops work on the request."""
        ...


_C = TypeVar("_C", bound=ReplicaConnection)


@final
class ConnectionUse(Generic[_C]):
    """One use of a connection by a request.

    :ivar keep_alive_s: how long the replica keeps the connection afterwards; ``None`` if unknown.
    """

    def __init__(self, connection: _C) -> None:
        self.connection = connection
        self.keep_alive_s: float | None = None


@asynccontextmanager
async def owned(
    acquired: Result[_C, ConnectFailure], release: Callable[[ConnectionUse[_C]], Awaitable[None]]
) -> AsyncIterator[Result[ConnectionUse[_C], ConnectFailure]]:
    """Use a connection, if one was acquired, and release it on exit in every case."""
    if isinstance(acquired, Err):
        yield acquired
        return
    use = ConnectionUse(acquired.ok_value)
    try:
        yield Ok(use)
    finally:
        with anyio.CancelScope(shield=True):
            await release(use)


@asynccontextmanager
async def sending_tasks(body: bytes) -> AsyncIterator[TaskGroup | None]:
    """Provide the task group that :func:`exchange_heads` needs to send a long body.

    A short request fits in the transport's buffer, so it needs none.
    """
    if len(body) <= SMALL_BODY_BYTES:
        yield None
        return
    async with anyio.create_task_group() as tasks:
        yield tasks
        tasks.cancel_scope.cancel()


async def exchange_heads(
    connection: ReplicaConnection, head: RequestHead, body: bytes, tasks: TaskGroup | None
) -> ResponseHead:
    """Send a request and return the head of its response.

    A replica may respond before it has read a long body, so that is sent in the background.

    :param tasks: from :func:`sending_tasks`.
    :raises UpstreamError: if no response was received.
    :raises NotSentError: if nothing was sent.
    """
    try:
        data = connection.start_request(head, body)
    except UpstreamError as error:
        raise NotSentError(str(error), unreached=False) from error
    if tasks is None:
        await connection.send(data)
    else:
        tasks.start_soon(connection.send, data)
    return await connection.read_head()
