"""The capacity bench measures the product's own states, and marks what it worked out."""

from __future__ import annotations

import json
import unittest

from bramleylead.bench import Figure
from bramleylead.bench._capacity import MEASURES
from bramleylead.bench._capacity import _line
from bramleylead.bench._capacity_pair import measure_append
from bramleylead.bench._capacity_state import COPIES
from bramleylead.bench._capacity_state import Shape
from bramleylead.bench._capacity_state import memory_bytes
from bramleylead.process.journal._state_codec import pack_state


class StatesTest(unittest.TestCase):
    def test_every_kind_of_copy_holds_the_same_state(self) -> None:
        packed = {name: pack_state(build(Shape(3, 4, 20))) for name, build in COPIES.items()}
        self.assertEqual(len(set(packed.values())), 1, sorted(packed))

    def test_memory_counts_what_is_kept(self) -> None:
        self.assertGreaterEqual(memory_bytes(lambda: bytearray(100_000)), 100_000)
        self.assertLess(memory_bytes(lambda: None), 10_000)


class AppendTest(unittest.TestCase):
    def test_more_entries_send_more_bytes_in_as_many_messages(self) -> None:
        few, many = measure_append(2, 20, 100), measure_append(8, 20, 100)
        self.assertGreater(many.bytes, 3 * few.bytes)
        self.assertAlmostEqual(many.sends, few.sends, delta=0.5)


class LineTest(unittest.TestCase):
    def test_an_extrapolated_figure_says_so(self) -> None:
        measured = json.loads(_line(Figure("capacity.a", 1.0, "us")))
        target = json.loads(_line(Figure("capacity.a.target", 1.0, "cores", 0.5)))
        self.assertNotIn("extrapolated", measured)
        self.assertEqual((target["extrapolated"], target["nodes"], target["ratio"]), (True, 410, 2))

    def test_budgets_are_measured_at_both_partition_counts(self) -> None:
        names = {figure.name for figure in MEASURES["budgets"]()}
        self.assertLessEqual({"capacity.grant_us.p48", "capacity.grant_us.p1024"}, names)
