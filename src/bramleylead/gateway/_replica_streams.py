"""Opens streams to replicas, and tells whose fault it is if that fails.

Where this machine has no descriptor, memory or port for a connection, nothing is learned of the
replica. A descriptor or memory is waited for shortly, and an idle connection is closed for it.
"""

from __future__ import annotations

import errno
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple
from typing import final

import anyio
from anyio.abc import ByteStream
from result import Err
from result import Ok
from result import Result

from bramleylead.connection import Network
from bramleylead.connection._error_log import ErrorLog
from bramleylead.connection._listener import error_name
from bramleylead.connection._listener import retry_delays

FIRST_PAUSE_S = 0.005
MAX_PAUSE_S = 0.1
PASSING_SHORTAGES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
SHORTAGES = PASSING_SHORTAGES | {errno.EADDRNOTAVAIL}
"""A port is free again only after a minute, so that is not waited for."""


class ConnectFailure(NamedTuple):
    """Why no stream to a replica could be opened.

    :param is_refusal: whether its host refused the connection.
    :param is_local: whether this machine could not make one, whatever the replica does.
    """

    detail: str
    is_refusal: bool = False
    is_local: bool = False


@final
class ReplicaStreams:
    """Opens streams to replicas.

    :param close_idle: closes an idle connection, if there is one.
    """

    def __init__(self, network: Network, *, close_idle: Callable[[], Awaitable[None]]) -> None:
        self._network = network
        self._close_idle = close_idle
        self._shortages = ErrorLog("connect_shortage")

    async def open(self, address: str, *, timeout_s: float) -> Result[ByteStream, ConnectFailure]:
        """Open a stream to ``host:port``."""
        deadline = anyio.current_time() + timeout_s
        pauses = retry_delays(FIRST_PAUSE_S, MAX_PAUSE_S)
        while True:
            try:
                with anyio.fail_after(deadline - anyio.current_time()):
                    return Ok(await self._network.connect(address))
            except OSError as error:
                causes = _causes(error)
            failure = _failure(address, causes)
            if not failure.is_local:
                return Err(failure)
            self._shortages.record(error_name(causes[0]), address=address)
            pause_s = next(pauses)
            is_passing = all(cause.errno in PASSING_SHORTAGES for cause in causes)
            if not is_passing or anyio.current_time() + pause_s >= deadline:
                return Err(failure)
            await self._close_idle()
            await anyio.sleep(pause_s)


def _causes(error: OSError) -> list[OSError]:
    """Return the errors of all attempts, which anyio hides in one without a number."""
    cause = error.__cause__
    if isinstance(cause, ExceptionGroup):
        return [each for each in cause.exceptions if isinstance(each, OSError)] or [error]
    return [cause if isinstance(cause, OSError) else error]


def _failure(address: str, causes: list[OSError]) -> ConnectFailure:
    first = causes[0]
    return ConnectFailure(
        f"{address}: can't connect: {type(first).__name__}: {first}",
        is_refusal=all(isinstance(cause, ConnectionRefusedError) for cause in causes),
        is_local=all(cause.errno in SHORTAGES for cause in causes),
    )
