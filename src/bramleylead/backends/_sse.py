"""Reads server-sent events from the parts of a body."""

from __future__ import annotations

from typing import final

MAX_EVENT_BYTES = 4_000_000


@final
class EventReader:
    """Cuts a body into events and keeps their data; comments only show that the server lives."""

    def __init__(self) -> None:
        self._rest = b""
        self._data: list[bytes] = []

    def feed(self, part: bytes) -> list[bytes]:
        """Take in a part of the body and return the data of the events that are whole now.

        :raises ValueError: if an event is too large.
        """
        lines = (self._rest + part).replace(b"\r\n", b"\n").split(b"\n")
        self._rest = lines.pop()
        events = []
        for line in lines:
            if line.startswith(b"data:"):
                self._data.append(line[5:].removeprefix(b" "))
            elif not line and self._data:
                events.append(b"\n".join(self._data))
                self._data = []
        if len(self._rest) + sum(map(len, self._data)) > MAX_EVENT_BYTES:
            raise ValueError(f"an event of over {MAX_EVENT_BYTES} bytes")
        return events
