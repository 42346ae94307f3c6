"""Hands the signals of a process to its event loop."""

from __future__ import annotations

import signal
import socket
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Self
from typing import TypeVar
from typing import final

import anyio
from result import Err
from result import Ok
from result import Result

from bramleylead._signals import STOP_SIGNALS
from bramleylead._signals import SignalInbox

WAKE_BYTES = 4096

_T = TypeVar("_T")


@final
class SignalReceiver:
    """Yields the signals of an inbox as they come.

    The handlers belong to the inbox: leaving this context changes none. The interpreter writes a
    byte to a socket for each signal, which wakes the event loop on whatever thread the signal
    arrived.
    """

    def __init__(self, inbox: SignalInbox) -> None:
        self._inbox = inbox

    def __enter__(self) -> Self:
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._writer.setblocking(False)
        self._former = signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)
        return self

    def __exit__(self, *error: object) -> None:
        signal.set_wakeup_fd(self._former)
        self._reader.close()
        self._writer.close()

    def __aiter__(self) -> Self:
        return self

    async def __anext__(self) -> signal.Signals:
        while True:
            received = self._inbox.take()
            if received is not None:
                return received
            await self._wait()

    async def wait_for_stop(self) -> signal.Signals:
        """Wait for a signal to stop, and return it without taking it."""
        while self._inbox.stop_signal is None:
            await self._wait()
        return self._inbox.stop_signal

    async def _wait(self) -> None:
        await anyio.wait_readable(self._reader)
        self._reader.recv(WAKE_BYTES)


async def complete_unless_stopped(
    signals: SignalInbox, action: Callable[[], Awaitable[_T]]
) -> Result[_T, signal.Signals]:
    """Return an action's result, or the signal to stop that came before and cancelled it."""
    async with anyio.create_task_group() as tasks:

        async def cancel_at_stop() -> None:
            with SignalReceiver(signals) as receiver:
                await receiver.wait_for_stop()
                tasks.cancel_scope.cancel()

        tasks.start_soon(cancel_at_stop)
        result = Ok(await action())
        tasks.cancel_scope.cancel()
        return result
    return Err(signals.stop_signal)


async def serve_until_stopped(
    signals: SignalInbox,
    start: Callable[[], Awaitable[None]],
    *,
    on_settings_changed: Callable[[], None],
) -> signal.Signals:
    """Start a server and return the signal that asks it to stop; a start under way is cancelled.

    :param on_settings_changed: called for each SIGHUP.
    """
    with SignalReceiver(signals) as receiver:
        async with anyio.create_task_group() as starting:
            starting.start_soon(start)
            number = await anext(receiver)
            while number not in STOP_SIGNALS:
                on_settings_changed()
                number = await anext(receiver)
            starting.cancel_scope.cancel()
    return number
