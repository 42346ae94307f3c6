"""Keeps the signals of a process that serves, from its first moment to its last.

A signal that finds no handler ends a process. Handlers are therefore set before any library is
imported, which is why this module imports so little, and stay until the process ends.
"""

from __future__ import annotations

import signal
from collections import deque

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_SITE_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)
SIGNALS_OF_COMMAND = {
    "gateway": _SITE_SIGNALS,
    "ledger": _SITE_SIGNALS,
    "node": (*_SITE_SIGNALS, signal.SIGUSR1),
}
"""The signals that each command that serves takes; all others keep their default effect."""

_inboxes: dict[str, SignalInbox] = {}


class SignalInbox:
    """Keeps signals until they are taken; those of a kind that still waits count once.

    Contexts may be nested; the outermost sets the handlers, and restores the former ones.
    """

    def __init__(self, numbers: tuple[signal.Signals, ...]) -> None:
        self._numbers = numbers
        self._waiting: deque[signal.Signals] = deque()
        self._former: dict[signal.Signals, object] = {}
        self._depth = 0

    @property
    def stop_signal(self) -> signal.Signals | None:
        """The first signal to stop that still waits."""
        return next((number for number in self._waiting if number in STOP_SIGNALS), None)

    def __enter__(self) -> SignalInbox:
        if self._depth == 0:
            for number in self._numbers:
                self._former[number] = signal.signal(number, self._keep)
        self._depth += 1
        return self

    def __exit__(self, *error: object) -> None:
        self._depth -= 1
        if self._depth:
            return
        for number, handler in self._former.items():
            signal.signal(number, signal.SIG_DFL if handler is None else handler)
        self._waiting.clear()

    def take(self) -> signal.Signals | None:
        """Return the signal that has waited longest."""
        return self._waiting.popleft() if self._waiting else None

    def _keep(self, number: int, frame: object) -> None:
        received = signal.Signals(number)
        if received not in self._waiting:
            self._waiting.append(received)


def signals_of(command: str) -> SignalInbox:
    """Return the inbox of a command that serves, the same one at each call."""
    if command not in _inboxes:
        _inboxes[command] = SignalInbox(SIGNALS_OF_COMMAND[command])
    return _inboxes[command]
