"""The cyclic collector rests while a role is imported, and works afterwards."""

from __future__ import annotations

import gc
import unittest

from bramleylead.__main__ import COLLECTION_THRESHOLD
from bramleylead.__main__ import _collection_paused


class CollectionPauseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.addCleanup(gc.enable)
        self.addCleanup(gc.unfreeze)
        self.addCleanup(gc.set_threshold, *gc.get_threshold())

    # Guards against a start that spends a fifteenth of its processor time on collections.
    def test_nothing_is_collected_meanwhile(self) -> None:
        with _collection_paused():
            self.assertFalse(gc.isenabled())

    # Guards against a process whose cycles are never freed.
    def test_the_collector_works_afterwards(self) -> None:
        with _collection_paused():
            pass
        self.assertTrue(gc.isenabled())
        with self.assertRaises(ModuleNotFoundError), _collection_paused():
            raise ModuleNotFoundError
        self.assertTrue(gc.isenabled())

    # Guards against collections several times a turn.
    def test_collections_are_rarer_afterwards(self) -> None:
        with _collection_paused():
            pass
        self.assertEqual(gc.get_threshold()[0], COLLECTION_THRESHOLD)

    # Guards against later collections that visit all that the imports made.
    def test_what_exists_is_visited_no_more(self) -> None:
        kept = [[]]
        with _collection_paused():
            pass
        self.assertNotIn(id(kept), {id(each) for each in gc.get_objects()})
