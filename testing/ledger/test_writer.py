"""The task that writes a ledger node's records."""

from __future__ import annotations

import unittest

import anyio

from bramleylead.ledger._records import LedgerState
from bramleylead.ledger._records import Record
from bramleylead.ledger._records import Spending
from bramleylead.ledger._writer import RecordWriter
from bramleylead.standins import run_virtual
from bramleylead.supervision import supervise
from testing.ledger._fleet import MemoryDisk


class ThreadlessDisk(MemoryDisk):
    """A disk whose first write finds no thread."""

    def __init__(self) -> None:
        super().__init__("disk")
        self.failures = 1

    async def write(self, records: list[Record]) -> None:
        if self.failures:
            self.failures -= 1
            raise RuntimeError("can't start new thread")
        await super().write(records)


class RecordWriterTest(unittest.TestCase):
    # Guards against a node that ends, or writes nothing more, after one unexpected error.
    def test_an_unexpected_error_fails_its_batch_only(self) -> None:
        async def main() -> None:
            writer = RecordWriter(ThreadlessDisk(), LedgerState())
            spending = Spending("p", "a", 9, False)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(supervise, "writer", writer.run)
                with anyio.fail_after(5.0):
                    with self.assertRaises(OSError):
                        await writer.write([spending])
                    await writer.write([spending])
                tasks.cancel_scope.cancel()

        run_virtual(main, seed=1)


if __name__ == "__main__":
    unittest.main()
