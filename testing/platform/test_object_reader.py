"""Answers of the store that hold objects of other writers."""

from __future__ import annotations

import json
import time
import unittest

from structlog.testing import capture_logs

from bramleylead.platform._object_reader import MAX_LINES_PER_ANSWER
from bramleylead.platform._object_reader import ObjectReader
from bramleylead.platform._objects import ObjectPage
from testing.platform._odd_items import NAMELESS_ITEMS
from testing.platform._odd_items import ODD_ITEMS
from testing.platform._odd_items import odd_item

ESCAPES = 200_000
GOOD = odd_item("i-1")


def page_of(*items: bytes, more: bytes = b"false") -> bytes:
    """Return a list as the store sends it."""
    return b'{"items": [%s], "has-more": %s, "as-of": 9}' % (b", ".join(items), more)


def read_page(body: bytes) -> ObjectPage:
    return ObjectReader().read_page("servers", body)


def cpu_time_of(specification: bytes) -> float:
    """Return the seconds of processor time for a list with an odd item, the best of three."""
    odd = b'{"metadata": {"name": "i-2", "revision": 1}, "specification": %s}' % specification
    body = page_of(GOOD, odd, GOOD)
    seconds = []
    for _ in range(3):
        started = time.process_time()
        page = read_page(body)
        seconds.append(time.process_time() - started)
        assert [found.name for found in page.objects] == ["i-1", "i-2", "i-1"]
    return min(seconds)


class ObjectReaderTest(unittest.TestCase):
    def test_an_odd_item_of_a_list_costs_itself_only(self) -> None:
        for label, odd in ODD_ITEMS.items():
            with self.subTest(label):
                page = read_page(page_of(GOOD, odd, GOOD, more=b"true"))
                before, found, after = page.objects
                self.assertEqual((found.name, found.value, found.status), ("i-2", None, None))
                self.assertEqual(before, after)
                self.assertEqual(before.value["x"], 1)
                self.assertEqual((page.more, page.as_of), (True, 9))

    def test_an_item_without_a_readable_name_is_left_out(self) -> None:
        for label, odd in NAMELESS_ITEMS.items():
            with self.subTest(label):
                page = read_page(page_of(GOOD, odd, GOOD))
                self.assertEqual([found.name for found in page.objects], ["i-1", "i-1"])

    def test_an_odd_change_costs_itself_only(self) -> None:
        event = b'{"object": %s, "removed": %s}'
        for label, odd in ODD_ITEMS.items():
            with self.subTest(label):
                events = [event % (GOOD, b"false"), event % (odd, b"true")]
                body = b'{"events": [%s], "as-of": 9}' % b",".join(events)
                page = ObjectReader().read_changes("servers", body)
                names = [(change.object.name, change.removed) for change in page.changes]
                self.assertEqual((names, page.as_of), ([("i-1", False), ("i-2", True)], 9))

    def test_one_odd_object_has_its_name_but_no_value(self) -> None:
        for label, odd in ODD_ITEMS.items():
            with self.subTest(label):
                found = ObjectReader().read_object("servers", odd)
                self.assertEqual((found.name, found.value), ("i-2", None))

    def test_an_answer_that_is_no_list_is_malformed(self) -> None:
        bodies = (b"", b"[]", b"{}", page_of(GOOD)[:-1], page_of(GOOD)[:-30], page_of(b'{"a'))
        # Each quote of a string without an end was taken for the begin of another one.
        bodies = (*bodies, b'{"items": [{' + b'"' + b'\\"' * ESCAPES)
        as_of = (b"1e999", b"9" * 4_901, b"null", b"-1", b"[" * 700 + b"]" * 700)
        for body in (*bodies, *(page_of().replace(b": 9", b": " + odd) for odd in as_of)):
            with self.subTest(body[:40]), self.assertRaises((KeyError, TypeError, ValueError)):
                read_page(body)

    def test_an_odd_object_is_logged_once_a_change(self) -> None:
        reader = ObjectReader()
        odd = ODD_ITEMS["700 levels"]
        changed = odd.replace(b'"revision": 1', b'"revision": 2')
        with capture_logs() as lines:
            for item in (odd, odd, changed, changed):
                reader.read_page("servers", page_of(GOOD, item))
        self.assertEqual([line["revision"] for line in lines], [1, 2])

    def test_many_odd_objects_are_few_short_lines(self) -> None:
        odd = [odd_item("i" * 900 + str(number), value=b"1e999") for number in range(100)]
        with capture_logs() as lines:
            read_page(page_of(*odd))
        self.assertEqual(len(lines), MAX_LINES_PER_ANSWER)
        self.assertLess(max(len(json.dumps(line)) for line in lines), 300)

    # Guards against an event loop that stands still: each value was searched for a bracket to the
    # end of all values.
    def test_the_time_for_values_behind_an_odd_one_grows_with_their_number(self) -> None:
        few, many = (cpu_time_of(b"[x" + b",1" * count + b"]") for count in (1_000, 10_000))
        self.assertLess(many, 30 * few)

    def test_an_odd_object_that_is_read_again_ends_where_it_ended(self) -> None:
        reader = ObjectReader()
        deep = b"[" * 2_000 + b"]" * 2_000
        longer = deep[:-1] + b', "' + deep + b'"]'
        for value in (deep, longer, deep, b"[" + deep + b", 1]", longer):
            page = reader.read_page("servers", page_of(GOOD, odd_item("i-2", value=value), GOOD))
            before, found, after = page.objects
            self.assertEqual((found.name, found.value), ("i-2", None))
            self.assertEqual(before, after)
