"""Opens listening sockets, at once or as soon as the system gives the address.

A port can be in use for a while through no fault of the settings: by a connection that somebody
else has opened from it, or by a former process that has not ended yet. Ending a process
that is started again would gain nothing, as the next start would meet the same.
"""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable
from collections.abc import Iterator

import anyio
import structlog

BACKLOG_CONNECTIONS = 1024
FIRST_RETRY_S = 0.05
MAX_RETRY_S = 0.5
LOG_INTERVAL_S = 30.0
UNUSABLE_AFTER_S = 30.0
"""How long an error that only other settings or rights cure is retried: an interface may come up
after the process."""
PASSING_ERRORS = frozenset(
    {
        errno.EADDRINUSE,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EINTR,
        errno.EAGAIN,
    }
)
"""Errors that end without a change of the settings; they are waited out, however long it takes."""

log = structlog.get_logger()


async def open_listener(
    address: str, prepare: Callable[[socket.socket], None] | None = None
) -> socket.socket:
    """Return a non-blocking socket that listens on ``host:port``.

    The protocol is passed explicitly, because asyncio sets TCP_NODELAY only on sockets whose
    protocol is TCP. With Nagle's algorithm a response waits some 40 ms for the peer's
    acknowledgement.

    :param prepare: sets options before the socket is bound.
    :raises OSError: if the address can't be used now.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if prepare is not None:
            prepare(listener)
        listener.bind((host, port))
        listener.listen(BACKLOG_CONNECTIONS)
        listener.setblocking(False)
    except BaseException:
        listener.close()
        raise
    return listener


async def wait_for_listener(
    address: str, prepare: Callable[[socket.socket], None] | None = None
) -> socket.socket:
    """Return a socket like :func:`open_listener`; wait for the address if necessary.

    :raises OSError: if the address still can't be used after ``UNUSABLE_AFTER_S``, and not for a
        reason that passes by itself.
    """
    delays = retry_delays(FIRST_RETRY_S, MAX_RETRY_S)
    started = anyio.current_time()
    kind = ""
    logged_s = 0.0
    while True:
        try:
            listener = await open_listener(address, prepare)
        except OSError as error:
            waited_s = round(anyio.current_time() - started, 3)
            is_passing = error.errno in PASSING_ERRORS
            if not is_passing and waited_s >= UNUSABLE_AFTER_S:
                log.error(
                    "address_unusable", address=address, kind=error_name(error), waited_s=waited_s
                )
                raise
            if error_name(error) != kind or waited_s >= logged_s + LOG_INTERVAL_S:
                kind = error_name(error)
                logged_s = waited_s
                log.warning("address_unavailable", address=address, kind=kind, waited_s=waited_s)
        else:
            if kind:
                waited_s = round(anyio.current_time() - started, 3)
                log.info("address_bound", address=address, kind=kind, waited_s=waited_s)
            return listener
        await anyio.sleep(next(delays))


def bound_address(address: str, listener: socket.socket) -> str:
    """Return an address with the port that a listener has been given for it."""
    return f"{address.rpartition(':')[0]}:{listener.getsockname()[1]}"


def error_name(error: OSError) -> str:
    """Return the symbol of an error, such as ``EADDRINUSE``."""
    return errno.errorcode.get(error.errno or 0, type(error).__name__)


def retry_delays(first_s: float, max_s: float) -> Iterator[float]:
    """Yield delays that double up to a limit."""
    delay_s = first_s
    while True:
        yield delay_s
        delay_s = min(max_s, 2 * delay_s)


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``; an IPv6 host must be in square brackets."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
