"""The compare-and-set of partition objects when replies get lost."""

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
from bramleylead.process.partitions._partition_record import renewed
from bramleylead.process.partitions._partition_record import swap_record
from bramleylead.standins import run_virtual

FIRST = Holder(node="a", address="10.0.0.1:7000", boot="1")
SECOND = Holder(node="b", address="10.0.0.2:7000", boot="1")


class _Superseded:
    """A store whose second write takes effect, loses its reply, and is changed by another node."""

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
        taken = renewed(found.record, owner=SECOND, second=FIRST)
        await swap_record(self.inner, 0, taken, expected=found.version)
        return Err(StoreError(StoreErrorKind.UNKNOWN, "no reply"))


class SwapTest(unittest.TestCase):
    def test_a_write_that_took_effect_and_was_superseded_is_not_told_as_without_effect(
        self,
    ) -> None:
        """Fault: an owner went on with its old pair while the new second copy had taken over."""

        async def body() -> Any:
            store = _Superseded()
            record = PartitionRecord(owner=FIRST, second=None, epoch=1)
            created = (await swap_record(store, 0, record)).ok_value
            paired = renewed(record, owner=FIRST, second=SECOND)
            return await swap_record(store, 0, paired, expected=created.version)

        written = run_virtual(body, seed=1)
        self.assertEqual(written.err_value.kind, StoreErrorKind.UNKNOWN)


if __name__ == "__main__":
    unittest.main()
