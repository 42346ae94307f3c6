"""The HTTP client, in virtual time."""

from __future__ import annotations

import unittest
from typing import Any

import anyio

from bramleylead.connection._http_client import HttpClient
from bramleylead.standins import run_virtual


class SlowPool:
    """A pool without connections that takes 1 s to close."""

    connections: tuple[Any, ...] = ()

    def __init__(self) -> None:
        self.closed = 0

    async def aclose(self) -> None:
        await anyio.sleep(1.0)
        self.closed += 1


class ReplacePoolTest(unittest.TestCase):
    def test_requests_that_time_out_together_close_each_pool_once(self) -> None:
        """The second request removed a pool that the first had removed, and the node crashed."""
        pools: list[SlowPool] = []

        def new_pool() -> SlowPool:
            pools.append(SlowPool())
            return pools[-1]

        async def main() -> list[int]:
            client = HttpClient("10.0.0.1:1")
            client._new_pool = new_pool
            client._pool = new_pool()
            client._retired_pools = [new_pool(), new_pool()]
            async with anyio.create_task_group() as tasks:
                for _ in range(3):
                    tasks.start_soon(client.replace_pool)
            return [pool.closed for pool in pools]

        closed = run_virtual(main, seed=1)
        self.assertEqual(closed, [1, 1, 1, 1, 1, 0])


if __name__ == "__main__":
    unittest.main()
