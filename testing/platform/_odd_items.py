"""Objects of another writer, as the store sends them, that can't be read as a whole."""

from __future__ import annotations

import json

from testing.platform.test_decode import ENTRY


def odd_item(name: str, *, value: bytes = b"1", metadata: bytes = b"", tail: bytes = b"") -> bytes:
    """Return an object as the store sends it, with the fields of a replica that works."""
    entry = json.dumps({**ENTRY, "address": "10.0.0.66:80"}).encode()[1:-1]
    about = b'"name": %s, "revision": 1, "deleting": false' % json.dumps(name).encode()
    return b'{"metadata": {%s%s}, "specification": {%s, "x": %s}%s}' % (
        about,
        metadata,
        entry,
        value,
        tail,
    )


ODD_ITEMS = {
    "700 levels": odd_item("i-2", value=b"[" * 700 + b"]" * 700),
    "100,000 levels": odd_item("i-2", value=b'{"a":' * 100_000 + b"1" + b"}" * 100_000),
    "levels with brackets in a string": odd_item(
        "i-2", value=b'["]\\"}",' * 700 + b"1" + b"]" * 700
    ),
    "4,901 digits": odd_item("i-2", value=b"9" * 4_901),
    "an integer of 65 bits": odd_item("i-2", value=b"18446744073709551616"),
    "an infinite number": odd_item("i-2", value=b"1e999"),
    "no number": odd_item("i-2", value=b"NaN"),
    "no JSON": odd_item("i-2", value=b"nope"),
    "no UTF-8": odd_item("i-2", value=b'"\xff\xfe"'),
    "a lone surrogate": odd_item("i-2", value=b'"\\ud800"'),
    "odd status": odd_item(
        "i-2", value=b"9" * 4_901, tail=b', "status": ' + b"[" * 700 + b"]" * 700
    ),
    "odd metadata": odd_item("i-2", value=b"1e999", metadata=b', "created": ' + b"9" * 4_901),
    "an infinite revision": odd_item("i-2").replace(b'"revision": 1', b'"revision": 1e999'),
    "a revision that is no number": odd_item("i-2").replace(b'"revision": 1', b'"revision": {}'),
    "no revision": odd_item("i-2").replace(b', "revision": 1', b""),
}
NAMELESS_ITEMS = {
    "no object": b"[7]",
    "no metadata": b'{"specification": {}}',
    "no name": odd_item("i-2").replace(b'"name": "i-2", ', b""),
    "a name that is no text": odd_item("i-2").replace(b'"i-2"', b'["i-2"]'),
    "a name that UTF-8 can't encode": odd_item("i-2").replace(b"i-2", b"\\udfff"),
    "a name of other bytes": odd_item("i-2").replace(b"i-2", b"\xff"),
    "the name of another twice": odd_item("i-2", metadata=b', "name": "i-1"'),
    "metadata of another twice": odd_item(
        "i-2", tail=b', "metadata": {"name": "i-1", "revision": 9}'
    ),
}


def named(item: bytes, name: str) -> bytes:
    """Return an odd item with another name."""
    return item.replace(b"i-2", name.encode())
