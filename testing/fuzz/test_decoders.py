"""Whatever arrives is decoded, or refused with the decoder's own error."""

from __future__ import annotations

import json
import unittest
from contextlib import suppress

import msgpack
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bramleylead.connection import MessageError
from bramleylead.connection import decode
from bramleylead.connection._codec import _classes_by_code
from bramleylead.connection._codec import from_plain
from bramleylead.connection._events import EventReader
from bramleylead.connection._events import EventTooLargeError
from bramleylead.connection._frames import _parse_frame
from bramleylead.json_input import find_excess
from bramleylead.ledger import _messages as ledger_messages
from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._members import LedgerView
from bramleylead.ledger._members import view_from_plain
from bramleylead.ledger._members import view_to_plain
from bramleylead.platform import _names as names
from bramleylead.platform import _wire as wire
from bramleylead.platform._decode import UnreadableError
from bramleylead.platform._decode import read_configuration
from bramleylead.platform._decode import read_replica
from bramleylead.platform._json_parts import RefusedValues
from bramleylead.platform._json_parts import decode_parts
from bramleylead.platform._object_reader import ObjectReader
from testing.platform._odd_items import NAMELESS_ITEMS
from testing.platform._odd_items import ODD_ITEMS
from testing.platform._odd_items import odd_item
from testing.platform.test_decode import ENTRY
from testing.platform.test_decode import ROUTE
from testing.platform.test_decode import configuration_with

EXAMPLES = settings(derandomize=True, deadline=None, max_examples=400)
NUMBERS = st.one_of(
    st.integers(),
    st.sampled_from([0, -1, 2**31, 2**63, 2**64, 10**400]),
    st.floats(),
)
TEXTS = st.one_of(
    st.text(max_size=40),
    st.sampled_from(["", "\u00b2", "\ud800", "10.0.0.1:65536", "nan", "-0", "1e999", "9" * 5000]),
)
SCALARS = st.one_of(st.none(), st.booleans(), NUMBERS, TEXTS)
EDGES = st.sampled_from(
    [float("inf"), float("nan"), 10**400, -1, 2**64, "9" * 5000, "\ud800", None, [], {}, True, ""]
)
JSON_VALUES = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4), st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
BYTES = st.one_of(
    st.binary(max_size=200), JSON_VALUES.map(str).map(lambda t: t.encode("utf-8", "replace"))
)
MAX_ITEM_BYTES = 6_000
ODD_BYTES = [
    item for item in (*ODD_ITEMS.values(), *NAMELESS_ITEMS.values()) if len(item) <= MAX_ITEM_BYTES
]
ITEM_BYTES = st.builds(
    lambda value, text, cut: odd_item("i", value=json.dumps([value, text]).encode()).replace(
        b":", cut, 1
    ),
    JSON_VALUES,
    st.text(),
    st.sampled_from([b":", b"", b"::", b" :\n", b"\xff", b":1e999,", b":[],"]),
)
HEADER_VALUES = st.one_of(
    st.text(alphabet=st.characters(max_codepoint=255), max_size=40),
    st.sampled_from(
        ["\u00b2,\u00b2", "1,2,3", f"{2**64},1", "inf", "nan", "timeout=\u00b2", "a:b,c:9"]
    ),
)
CALL_HEADERS = (
    names.TOKEN_USAGE,
    names.TOKEN_BUDGET,
    names.DEADLINE_MS,
    names.FINISH_MS,
    names.PROMPT_PREFIX,
    names.LAST_EVENT_ID,
    names.REQUEST_ID,
)
ANSWER_HEADERS = (
    names.SERVER_LOAD,
    names.SERVER_LIMIT,
    "keep-alive",
    "content-encoding",
    names.SERVER_LEAVING,
)


def changed(plain: dict, draw) -> dict:
    """Return a value that is broken in one place."""
    key = draw(st.sampled_from(sorted(plain)))
    kept = dict(plain)
    if draw(st.booleans()):
        kept[key] = draw(st.one_of(EDGES, JSON_VALUES))
    else:
        del kept[key]
    return kept


def encode_if_portable(value) -> bool:
    """Encode a value if the store's client would pass it on; return whether it would."""
    if not find_excess(value):
        msgpack.packb(value)
        return True
    return False


class PlatformTest(unittest.TestCase):
    @EXAMPLES
    @given(st.data())
    def test_an_entry_of_a_replica(self, data: st.DataObject) -> None:
        value = data.draw(st.one_of(JSON_VALUES, st.builds(lambda: changed(ENTRY, data.draw))))
        try:
            replica = read_replica("i", value)
        except UnreadableError:
            return
        if encode_if_portable(value):
            msgpack.packb(list(replica))

    @EXAMPLES
    @given(st.data())
    def test_a_configuration(self, data: st.DataObject) -> None:
        whole = configuration_with(ROUTE)
        value = data.draw(
            st.one_of(
                JSON_VALUES,
                st.builds(lambda: changed(whole, data.draw)),
                st.builds(lambda: configuration_with(changed(ROUTE, data.draw))),
            )
        )
        try:
            read_configuration(value)
        except UnreadableError:
            return

    @EXAMPLES
    @given(JSON_VALUES)
    def test_a_page_of_the_store(self, value) -> None:
        text = json.dumps(
            {
                "items": [{"metadata": {"name": "n", "revision": 1}, "specification": value}],
                "has-more": False,
                "as-of": 1,
            }
        )
        (found,) = ObjectReader().read_page("servers", text.encode()).objects
        if found.value is not None:
            msgpack.packb(found.value)
        decoded = decode_parts(text.encode(), RefusedValues(), levels=0)
        carried = isinstance(decoded, dict) and not find_excess(decoded)
        self.assertEqual(found.value is not None, value is not None and carried)

    @EXAMPLES
    @given(st.lists(st.one_of(st.sampled_from(ODD_BYTES), ITEM_BYTES), max_size=6))
    def test_a_page_with_items_of_any_bytes(self, items) -> None:
        """An item with whole brackets and strings costs no other item."""
        good = odd_item("good")
        body = b'{"as-of": 1, "items": [%s], "has-more": false}' % b",".join([good, *items, good])
        page = ObjectReader().read_page("servers", body)
        self.assertEqual([page.objects[0].name, page.objects[-1].name], ["good", "good"])
        for found in page.objects:
            msgpack.packb(list(found))

    @EXAMPLES
    @given(BYTES)
    def test_an_answer_of_any_bytes(self, body: bytes) -> None:
        reader = ObjectReader()
        for read in (reader.read_page, reader.read_changes, reader.read_object):
            with suppress(KeyError, TypeError, ValueError):
                read("servers", body)

    @EXAMPLES
    @given(st.dictionaries(st.sampled_from(CALL_HEADERS), HEADER_VALUES))
    def test_the_headers_of_a_request(self, headers) -> None:
        try:
            call = wire.read_call(headers)
        except wire.HeaderError:
            return
        msgpack.packb([call.max_output_tokens, call.prompt_tokens, call.budget_tokens, call.prompt])

    @EXAMPLES
    @given(st.dictionaries(st.sampled_from(ANSWER_HEADERS), HEADER_VALUES))
    def test_the_headers_of_an_answer(self, headers) -> None:
        wire.read_answer(headers)


class MessageTest(unittest.TestCase):
    @EXAMPLES
    @given(st.binary(max_size=300))
    def test_a_frame_of_any_bytes(self, data: bytes) -> None:
        for parse in (decode, _parse_frame):
            try:
                parse(data)
            except MessageError:
                continue

    @EXAMPLES
    @given(st.data())
    def test_a_message_with_any_fields(self, data: st.DataObject) -> None:
        self.assertTrue(ledger_messages)
        code = data.draw(st.sampled_from(sorted(_classes_by_code)))
        fields = data.draw(st.lists(JSON_VALUES, max_size=len(_classes_by_code[code]._fields) + 2))
        try:
            item = from_plain([code, *fields])
        except MessageError:
            return
        self.assertIsInstance(item, _classes_by_code[code])

    @EXAMPLES
    @given(st.data())
    def test_a_view_of_the_members(self, data: st.DataObject) -> None:
        view = view_to_plain(LedgerView(1, (LedgerMember("s0", "10.0.0.1:7", "d0"),)))
        value = data.draw(st.one_of(JSON_VALUES, st.builds(lambda: changed(view, data.draw))))
        try:
            view_from_plain(value)
        except ValueError:
            return

    @EXAMPLES
    @given(st.lists(st.binary(max_size=60), max_size=6))
    def test_a_stream_split_anywhere(self, chunks) -> None:
        whole, split = EventReader(), EventReader()
        try:
            together = whole.feed(b"".join(chunks))
            apart = [event for chunk in chunks for event in split.feed(chunk)]
        except EventTooLargeError:
            return
        self.assertEqual((together, whole.remainder), (apart, split.remainder))
