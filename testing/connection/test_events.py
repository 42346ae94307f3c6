"""Streams are split into complete events, regardless of how reads split them."""

from __future__ import annotations

import itertools
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from bramleylead.connection._events import MAX_EVENT_BYTES
from bramleylead.connection._events import EventReader
from bramleylead.connection._events import EventTooLargeError

STREAM = b"id: 1\ndata: a\n\nweight-version: 2\nid: 2\ndata: b\ndata: c\n\nid: 3\r\ndata:d\r\n\r\n"


class EventReaderTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None)
    @given(strategies.lists(strategies.integers(0, len(STREAM)), max_size=6))
    def test_events_do_not_depend_on_how_reads_split_the_stream(self, cuts: list[int]) -> None:
        reader = EventReader()
        bounds = sorted({0, *cuts, len(STREAM)})
        events = []
        for start, end in itertools.pairwise(bounds):
            events += reader.feed(STREAM[start:end])
        self.assertEqual([event.event_id for event in events], ["1", "2", "3"])
        self.assertEqual([event.data for event in events], [b"a", b"b\nc", b"d"])
        self.assertEqual(b"".join(event.raw for event in events), STREAM)
        self.assertEqual(reader.remainder, b"")

    def test_an_incomplete_event_stays_in_the_buffer(self) -> None:
        reader = EventReader()
        self.assertEqual(len(reader.feed(b"data: a\n\ndata: b\n")), 1)
        self.assertEqual(reader.remainder, b"data: b\n")

    def test_an_oversized_event_raises_an_error(self) -> None:
        with self.assertRaises(EventTooLargeError):
            EventReader().feed(b"x" * (MAX_EVENT_BYTES + 1))
