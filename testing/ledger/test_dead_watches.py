"""Watches that the store never answers, while it answers everything else."""

from __future__ import annotations

import unittest

import anyio
from structlog.testing import capture_logs

from bramleylead.platform._monitored_store import MAX_LIST_AGE_S
from testing.gateway.test_follow import wait_until
from testing.ledger.test_mirrored_store import DRAIN_S
from testing.ledger.test_mirrored_store import WATCH_PHASES_S
from testing.ledger.test_mirrored_store import Site
from testing.ledger.test_mirrored_store import run_with_site
from testing.platform.test_decode import ENTRY


class DeadWatchTest(unittest.TestCase):
    def measure_removal(self, *, delay_s: float) -> float:
        """Return how long a gateway uses a replica that is removed while all watches are dead."""
        took_s: list[float] = []

        async def main(site: Site) -> None:
            site.store.put("servers", "i-2", ENTRY)
            await anyio.sleep(MAX_LIST_AGE_S + 1)
            site.store.stalled = {"s0", "s1", "s2"}
            await anyio.sleep(1 + delay_s)
            site.store.drop_current_watches()
            site.store.remove("servers", "i-1")
            removed_at = anyio.current_time()
            await wait_until(lambda: not site.directory.is_usable("i-1"))
            took_s.append(anyio.current_time() - removed_at)
            self.assertTrue(site.directory.is_usable("i-2"))

        run_with_site(main)
        return took_s[0]

    # Guards against a replica that gets requests until the watch times out: a removal raises the
    # revision of no object that is left, so the probes of the list did not show it.
    def test_a_removed_replica_is_not_used_for_long(self) -> None:
        for delay_s in WATCH_PHASES_S:
            with self.subTest(delay_s=delay_s):
                self.assertLess(self.measure_removal(delay_s=delay_s), DRAIN_S)

    # Guards against entries that are used for the grace period of an outage that was none.
    def test_a_dead_watch_is_no_failure_of_the_store(self) -> None:
        with capture_logs() as lines:
            self.measure_removal(delay_s=0.0)
        events = {line["event"] for line in lines}
        self.assertIn("watch_missed_change", events)
        self.assertFalse(events & {"replica_missing", "store_lost"})
