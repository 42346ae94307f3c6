"""The event loop polls its sockets rarely while callbacks are ready, and never starves them."""

from __future__ import annotations

import socket
import unittest
from collections.abc import Awaitable
from collections.abc import Callable
from unittest import mock

import anyio
import anyio.lowlevel

from bramleylead import _event_loop
from bramleylead._event_loop import MAX_SKIPPED_POLLS
from bramleylead._event_loop import new_event_loop

ROUNDS = 200


class EventLoopTest(unittest.TestCase):
    def test_ready_callbacks_cost_few_polls(self) -> None:
        async def run_rounds() -> None:
            for _ in range(ROUNDS):
                await anyio.lowlevel.checkpoint()

        polls = mock.Mock(wraps=_event_loop.selectors.EpollSelector.select)

        def counted(selector: object, timeout: float | None = None) -> object:
            return polls(selector, timeout)

        with mock.patch.object(_event_loop.selectors.EpollSelector, "select", counted):
            _run(run_rounds)
        self.assertLess(polls.call_count, 2 * ROUNDS / MAX_SKIPPED_POLLS)

    def test_a_socket_is_read_although_callbacks_are_always_ready(self) -> None:
        rounds = 0

        async def count_rounds() -> None:
            nonlocal rounds
            while True:
                rounds += 1
                await anyio.lowlevel.checkpoint()

        async def read_beside_busy_task() -> None:
            nonlocal rounds
            ours, theirs = socket.socketpair()
            ours.setblocking(False)
            with ours, theirs:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(count_rounds)
                    await anyio.lowlevel.checkpoint()
                    theirs.send(b"x")
                    rounds = 0
                    await anyio.wait_readable(ours)
                    tasks.cancel_scope.cancel()

        _run(read_beside_busy_task)
        self.assertLessEqual(rounds, 2 * MAX_SKIPPED_POLLS)


def _run(main: Callable[[], Awaitable[None]]) -> None:
    anyio.run(main, backend="asyncio", backend_options={"loop_factory": new_event_loop})
