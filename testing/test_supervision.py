"""Tasks that go on after an unexpected error."""

from __future__ import annotations

import unittest

import anyio
from structlog.testing import capture_logs

from bramleylead.standins import run_virtual
from bramleylead.supervision import supervise


class SuperviseTest(unittest.TestCase):
    # Guards against a process that ends because one item broke a task that serves all of them.
    def test_a_task_is_started_again_after_an_error_which_is_logged(self) -> None:
        runs: list[float] = []

        async def run() -> None:
            runs.append(anyio.current_time())
            if len(runs) < 3:
                raise OverflowError("port must be 0-65535")

        async def main() -> None:
            await supervise("probes", run)

        with capture_logs() as lines:
            run_virtual(main, seed=1)
        self.assertEqual(len(runs), 3)
        failed = [line for line in lines if line["event"] == "task_failed"]
        self.assertEqual([line["task"] for line in failed], ["probes", "probes"])
        self.assertIn("port must be 0-65535", failed[0]["reason"])

    def test_cancelling_ends_the_task(self) -> None:
        async def main() -> None:
            with anyio.move_on_after(1.0) as scope:
                await supervise("idle", anyio.sleep_forever)
            self.assertTrue(scope.cancelled_caught)

        run_virtual(main, seed=1)
