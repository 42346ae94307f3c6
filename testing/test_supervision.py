"""Tasks that go on after an unexpected error."""

from __future__ import annotations

import unittest
from typing import Any

import anyio
from structlog.testing import capture_logs

from bramleylead.standins import run_virtual
from bramleylead.supervision import contain
from bramleylead.supervision import supervise
from bramleylead.supervision import supervise_server


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

    # Guards against a process that ends since a server of it has met an unexpected error.
    def test_a_server_is_started_again_after_an_error(self) -> None:
        starts: list[str] = []

        async def serve(address: str, *, task_status: Any) -> None:
            starts.append(address)
            task_status.started(address)
            if len(starts) < 3:
                raise ValueError("unexpected")
            await anyio.sleep_forever()

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                bound = await tasks.start(supervise_server, "nodes", serve, "10.0.0.1:80")
                self.assertEqual(bound, "10.0.0.1:80")
                await anyio.sleep(1.0)
                tasks.cancel_scope.cancel()

        with capture_logs() as lines:
            run_virtual(main, seed=1)
        self.assertEqual(len(starts), 3)
        self.assertEqual([line["task"] for line in lines], ["nodes", "nodes"])

    def test_a_server_that_never_started_raises_its_error(self) -> None:
        async def serve(*, task_status: Any) -> None:
            raise OSError("no such address")

        async def main() -> None:
            with self.assertRaises(OSError):
                await supervise_server("nodes", serve)

        run_virtual(main, seed=1)

    # Guards against a process that ends since a task of one request has met an error.
    def test_an_error_of_a_contained_task_is_logged(self) -> None:
        async def fail(reason: str) -> None:
            raise RecursionError(reason)

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(contain, "settle", fail, "deep")

        with capture_logs() as lines:
            run_virtual(main, seed=1)
        self.assertEqual([line["reason"] for line in lines], ["RecursionError: deep"])

    def test_cancelling_ends_the_task(self) -> None:
        async def main() -> None:
            with anyio.move_on_after(1.0) as scope:
                await supervise("idle", anyio.sleep_forever)
            self.assertTrue(scope.cancelled_caught)

        run_virtual(main, seed=1)
