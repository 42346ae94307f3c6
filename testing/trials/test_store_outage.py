"""The operators' table of the store's outage says what callers are really told."""

from __future__ import annotations

import unittest
from pathlib import Path

import structlog
from structlog.testing import LogCapture

from testing.trials._store_outage import LOSSES
from testing.trials._store_outage import REQUESTS
from testing.trials._store_outage import STORES
from testing.trials._store_outage import Cell
from testing.trials._store_outage import walk

PAGE = Path(__file__).resolve().parents[2] / "docs" / "operators" / "store-outage.md"


def read_table() -> dict[Cell, str]:
    """Return the cells of the page's table: request, store, then one column a loss."""
    cells: dict[Cell, str] = {}
    for line in PAGE.read_text().splitlines():
        parts = [part.strip() for part in line.strip("|").split("|")]
        if len(parts) == 2 + len(LOSSES) and parts[0] in REQUESTS:
            cells.update(
                {
                    Cell(parts[0], parts[1], loss): told
                    for loss, told in zip(LOSSES, parts[2:], strict=True)
                }
            )
    return cells


class StoreOutageTest(unittest.TestCase):
    def test_every_cell_of_the_table_is_what_callers_are_told(self) -> None:
        structlog.configure(processors=[LogCapture()])
        self.addCleanup(structlog.reset_defaults)
        told = walk()
        table = read_table()
        self.assertEqual(len(table), len(REQUESTS) * len(STORES) * len(LOSSES))
        for cell in told:
            with self.subTest(cell):
                self.assertEqual(table[cell], told[cell])
