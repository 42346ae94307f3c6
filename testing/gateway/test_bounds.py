"""Objects of the store at the bounds of what is read, on their way to a gateway's directory."""

from __future__ import annotations

import json
import unittest
from collections.abc import Callable
from typing import Any

import msgpack
from pydantic_core import from_json

from bramleylead.connection import decode
from bramleylead.connection._codec import encode
from bramleylead.gateway._directory import Directory
from bramleylead.gateway._followers import ConfigurationFollower
from bramleylead.gateway._followers import ReplicaFollower
from bramleylead.json_input import MAX_DEPTH
from bramleylead.json_input import MAX_INTEGER
from bramleylead.json_input import MIN_INTEGER
from bramleylead.json_input import JsonInputError
from bramleylead.json_input import decode_json
from bramleylead.json_input import find_excess
from bramleylead.ledger._mirror import AskMirror
from bramleylead.ledger._mirror import Mirrored
from bramleylead.ledger._mirror import MirroredKind
from bramleylead.ledger._mirror import to_object_change
from bramleylead.ledger._retirement import RetirementFollower
from bramleylead.platform._object_reader import ObjectReader
from bramleylead.standins import run_virtual
from testing.platform.test_decode import ENTRY
from testing.platform.test_decode import ROUTE
from testing.platform.test_decode import configuration_with

CALLER_FRAMES = 500
"""The recursion limit of 1,000 is shared with the callers' frames."""
MAX_DIGITS = 4_300


def nested(levels: int) -> str:
    """Return JSON of so many objects and arrays within each other, alternately."""
    pairs = [("[", "]"), ('{"a":', "}")]
    opening = "".join(pairs[level % 2][0] for level in range(levels))
    return opening + "1" + "".join(pairs[level % 2][1] for level in reversed(range(levels)))


def within_frames(frames: int, run: Callable[[], Any]) -> Any:
    """Run something that many frames deeper in the stack."""
    return run() if not frames else within_frames(frames - 1, run)


ENTRY_LEVELS = 1
"""The object that the value is a field of."""
KEPT = {
    "levels - 1": nested(MAX_DEPTH - ENTRY_LEVELS - 1),
    "levels": nested(MAX_DEPTH - ENTRY_LEVELS),
    "integer - 1": str(MAX_INTEGER - 1),
    "integer": str(MAX_INTEGER),
    "least integer + 1": str(MIN_INTEGER + 1),
    "least integer": str(MIN_INTEGER),
    "float": "1.7976931348623157e308",
    "text": '"\\ud83d\\ude00"',
}
REFUSED = {
    "levels + 1": nested(MAX_DEPTH - ENTRY_LEVELS + 1),
    "integer + 1": str(MAX_INTEGER + 1),
    "least integer - 1": str(MIN_INTEGER - 1),
    "digits - 1": "9" * (MAX_DIGITS - 1),
    "digits": "9" * MAX_DIGITS,
    "digits + 1": "9" * (MAX_DIGITS + 1),
    "float": "1.8e308",
    "text": '"\\ud83d"',
}


class Confirmed:
    """A source whose answers are always new."""

    def confirmed_at(self, kind: str) -> float:
        return 0.0


def item(name: str, value: str, fields: dict[str, Any] = ENTRY) -> str:
    entry = json.dumps(fields)[:-1]
    about = {"name": name, "revision": 2}
    return f'{{"metadata": {json.dumps(about)}, "specification": {entry}, "x": {value}}}}}'


def through_ledger(kind: str, items: list[str], *, as_changes: bool) -> Mirrored:
    """Return what a gateway receives of a list or of changes that a ledger node has read."""

    async def main() -> Mirrored:
        mirror = MirroredKind(kind, Confirmed())
        reader = ObjectReader()
        listed = "" if as_changes else ",".join(items)
        page = reader.read_page(
            kind, f'{{"items": [{listed}], "has-more": false, "as-of": 1}}'.encode()
        )
        mirror.replace_all(page.objects, as_of=page.as_of)
        if as_changes:
            events = ",".join(f'{{"object": {found}, "removed": false}}' for found in items)
            changes = reader.read_changes(kind, f'{{"events": [{events}], "as-of": 2}}'.encode())
            mirror.apply_changes(changes.changes, as_of=changes.as_of)
        answer = await mirror.answer(AskMirror(kind, 1, not as_changes, 0.0))
        return decode(encode(answer))

    return run_virtual(main, seed=1)


def replicas_of(items: list[str], *, as_changes: bool) -> set[str]:
    """Return the replicas that a gateway knows then; their entries can be logged."""
    received = through_ledger("servers", items, as_changes=as_changes)
    changes = [to_object_change(found) for found in received.objects]

    async def main() -> set[str]:
        directory = Directory()
        follower = ReplicaFollower(directory)
        if as_changes:
            follower.apply_changes(changes, as_of=2)
        else:
            follower.replace_all([change.object for change in changes], as_of=1)
        json.dumps([change.object for change in changes])
        return directory.replica_names()

    return run_virtual(main, seed=1)


class BoundsTest(unittest.TestCase):
    def test_a_value_at_a_bound_reaches_the_directory_and_one_beyond_costs_its_item(self) -> None:
        for as_changes in (False, True):
            for label, value in {**KEPT, **REFUSED}.items():
                with self.subTest(label, as_changes=as_changes, kept=value in KEPT.values()):
                    items = [item("i-1", "1"), item("i-2", value)]
                    known = {"i-1", "i-2"} if value in KEPT.values() else {"i-1"}
                    self.assertEqual(replicas_of(items, as_changes=as_changes), known)

    def test_a_deep_stack_of_callers_changes_no_bound(self) -> None:
        for value, known in ((KEPT["levels"], 2), (REFUSED["levels + 1"], 1)):
            items = [item("i-1", "1"), item("i-2", value)]
            body = f'{{"items": [{",".join(items)}], "has-more": false, "as-of": 1}}'.encode()
            page = within_frames(
                CALLER_FRAMES, lambda body=body: ObjectReader().read_page("servers", body)
            )
            self.assertEqual(sum(found.value is not None for found in page.objects), known)

    def test_the_depth_that_is_read_is_the_least_bound_on_the_way(self) -> None:
        value = decode_json(nested(MAX_DEPTH))
        answer = Mirrored(True, (("i", value, None, 1, False, False),), 1, 0.0)
        for carry in (
            lambda: decode(encode(answer)),
            lambda: msgpack.unpackb(msgpack.packb({"value": [value]})),
            lambda: json.loads(json.dumps([value])),
            lambda: repr(value),
            lambda: from_json(nested(MAX_DEPTH)),
        ):
            within_frames(CALLER_FRAMES, carry)
        with self.assertRaises(ValueError):
            from_json(nested(MAX_DEPTH + 1))
        with self.assertRaises(JsonInputError):
            decode_json(nested(MAX_DEPTH + 1))

    def test_a_value_of_any_depth_is_refused_without_recursion(self) -> None:
        for levels in (MAX_DEPTH + 1, 10**5, 10**6):
            with self.assertRaises(JsonInputError):
                decode_json("[" * levels + "]" * levels)
        deep: list[Any] = []
        for _ in range(10**5):
            deep = [deep]
        self.assertTrue(find_excess(deep))
        while deep:
            deep = deep.pop()

    def test_a_configuration_beyond_a_bound_leaves_the_former_one_in_force(self) -> None:
        async def main() -> list[int]:
            directory = Directory()
            follower = ConfigurationFollower(directory)
            versions = []
            for version, value in ((7, KEPT["levels"]), (8, REFUSED["levels + 1"]), (9, "1")):
                fields = {**configuration_with(ROUTE), "version": version}
                stored = ObjectReader().read_object("config", item("main", value, fields).encode())
                follower.replace_all([stored], as_of=1)
                assert directory.configuration is not None
                versions.append(directory.configuration.version)
            return versions

        self.assertEqual(run_virtual(main, seed=1), [7, 7, 9])

    def test_an_odd_retirement_hides_no_other(self) -> None:
        for as_changes in (False, True):
            for label, value in REFUSED.items():
                with self.subTest(label, as_changes=as_changes):
                    wanted = {"duration-s": 1.0}
                    items = [item("s8", value, wanted), item("s1", "1", wanted)]
                    received = through_ledger("retirements", items, as_changes=as_changes)

                    async def main(received: Mirrored = received) -> bool:
                        follower = RetirementFollower("s1")
                        changes = [to_object_change(found) for found in received.objects]
                        follower.apply_changes(changes, as_of=2)
                        return follower.requested.is_set()

                    self.assertTrue(run_virtual(main, seed=1))
