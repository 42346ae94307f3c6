"""Incremental parser for server-sent events (``text/event-stream``)."""

from __future__ import annotations

from typing import NamedTuple
from typing import final

MAX_EVENT_BYTES = 4_000_000


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
        self._buffer = b""

    @property
    def remainder(self) -> bytes:
        """The bytes received so far of an incomplete event."""
        return self._buffer

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes and return the events that they complete.

        :raises EventTooLargeError: if an event exceeds the maximum size.
        """
        self._buffer += data
        events = []
        while (end := _first_event_length(self._buffer)) > 0:
            events.append(_parse_event(self._buffer[:end]))
            self._buffer = self._buffer[end:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return events

    def feed_data(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the data of the completed events that have any.

        :raises EventTooLargeError: if an event exceeds the maximum size.
        """
        return [event.data for event in self.feed(data) if event.data]


def _first_event_length(buffer: bytes) -> int:
    """Return the length of the first event including its blank line; 0 if it is incomplete."""
    ends = [
        position + len(separator)
        for separator in (b"\n\n", b"\r\n\r\n")
        if (position := buffer.find(separator)) >= 0
    ]
    return min(ends, default=0)


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
