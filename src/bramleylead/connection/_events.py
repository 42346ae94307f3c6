"""Events of a stream (``text/event-stream``): passed on whole, never a part of one."""

from __future__ import annotations

from typing import NamedTuple
from typing import final

MAX_EVENT_BYTES = 4_000_000


class StreamEvent(NamedTuple):
    """One event: its bytes as they came, its id, and its data."""

    raw: bytes
    name: str
    data: bytes


class EventTooLargeError(ValueError):
    """A stream goes on for very long without the end of an event."""


@final
class EventReader:
    """Cuts a stream into events; a part at the end that is no whole event stays behind."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def left(self) -> bytes:
        """What has come of the event that is not whole yet."""
        return self._buffer

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take in bytes and return the events that are whole now.

        :raises EventTooLargeError: if an event is larger than any may be.
        """
        self._buffer += data
        events = []
        while (end := _end_of_event(self._buffer)) > 0:
            events.append(_parse(self._buffer[:end]))
            self._buffer = self._buffer[end:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"an event of over {MAX_EVENT_BYTES} bytes")
        return events

    def feed_data(self, data: bytes) -> list[bytes]:
        """Take in bytes and return the data of the whole events that have some.

        :raises EventTooLargeError: if an event is larger than any may be.
        """
        return [event.data for event in self.feed(data) if event.data]


def _end_of_event(buffer: bytes) -> int:
    """Return the length of the first event with its empty line; 0 if it is not whole."""
    ends = [
        found + len(mark) for mark in (b"\n\n", b"\r\n\r\n") if (found := buffer.find(mark)) >= 0
    ]
    return min(ends, default=0)


def _parse(raw: bytes) -> StreamEvent:
    name = ""
    data = []
    for line in raw.splitlines():
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if field == b"id":
            name = value.decode("latin-1")
        elif field == b"data":
            data.append(value)
    return StreamEvent(raw, name, b"\n".join(data))
