"""Compare-and-set of partition objects when replies are lost."""

from __future__ import annotations

import unittest
from typing import Any

from result import Err

from bramleylead.platform import MemoryStore
from bramleylead.platform import StoreError
from bramleylead.platform import StoreErrorKind
from bramleylead.process.partitions._partition_record import Holder
from bramleylead.process.partitions._partition_record import PartitionRecord
from bramleylead.process.partitions._partition_record import read_record
from bramleylead.process.partitions._partition_record import swap_record
from bramleylead.process.partitions._partition_record import with_next_epoch
from bramleylead.standins import run_virtual

FIRST = Holder(node="a", address="10.0.0.1:7000", boot="1")
SECOND = Holder(node="b", address="10.0.0.2:7000", boot="1")


class _SupersedingStore:
    """A store whose second write succeeds, is overwritten by another node, and loses its reply."""

    def __init__(self) -> None:
        self.inner = MemoryStore()
        self.get = self.inner.get
        self._writes = 0

    async def put(self, key: str, value: bytes, **options: Any) -> Any:
        written = await self.inner.put(key, value, **options)
        self._writes += 1
        if self._writes != 2:
            return written
        found = (await read_record(self.inner, 0)).ok_value
        superseding = with_next_epoch(found.record, owner=SECOND, second=FIRST)
        await swap_record(self.inner, 0, superseding, expected=found.version)
        return Err(StoreError(StoreErrorKind.UNKNOWN, "no reply"))


class SwapTest(unittest.TestCase):
    def test_a_superseded_write_with_a_lost_reply_has_an_unknown_outcome(
        self,
    ) -> None:
        """Regression: an owner resumed its old pair although the new second copy had taken over."""

        async def body() -> Any:
            store = _SupersedingStore()
            record = PartitionRecord(owner=FIRST, second=None, epoch=1)
            created = (await swap_record(store, 0, record)).ok_value
            paired = with_next_epoch(record, owner=FIRST, second=SECOND)
            return await swap_record(store, 0, paired, expected=created.version)

        written = run_virtual(body, seed=1)
        self.assertEqual(written.err_value.kind, StoreErrorKind.UNKNOWN)


if __name__ == "__main__":
    unittest.main()
