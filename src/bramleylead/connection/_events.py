"""Incremental parser for server-sent events (``text/event-stream``)."""

from __future__ import annotations

import re
from typing import NamedTuple
from typing import final

MAX_EVENT_BYTES = 4_000_000
EVENT_SEPARATOR = re.compile(rb"\n\n|\r\n\r\n")
LONGEST_SEPARATOR_BYTES = 4


class StreamEvent(NamedTuple):
    """One event: its raw bytes, its id and its data."""

    raw: bytes
    event_id: str
    data: bytes


class EventTooLargeError(ValueError):
    """An event exceeds the maximum size."""


@final
class EventReader:
    """Splits a stream into events and buffers an incomplete event at its end."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0

    @property
    def remainder(self) -> bytes:
        """The bytes received so far of an incomplete event."""
        return bytes(self._buffer)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes and return the events that they complete.

        :raises EventTooLargeError: if an event exceeds the maximum size.
        """
        self._buffer += data
        events = []
        start = 0
        while separator := EVENT_SEPARATOR.search(self._buffer, max(start, self._searched)):
            events.append(_parse_event(bytes(self._buffer[start : separator.end()])))
            start = separator.end()
        del self._buffer[:start]
        self._searched = max(0, len(self._buffer) - LONGEST_SEPARATOR_BYTES + 1)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return events

    def feed_data(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the data of the completed events that have any.

        :raises EventTooLargeError: if an event exceeds the maximum size.
        """
        return [event.data for event in self.feed(data) if event.data]


def _parse_event(raw: bytes) -> StreamEvent:
    event_id = ""
    data = []
    for line in raw.splitlines():
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if field == b"id":
            event_id = value.decode("latin-1")
        elif field == b"data":
            data.append(value)
    return StreamEvent(raw, event_id, b"\n".join(data))
