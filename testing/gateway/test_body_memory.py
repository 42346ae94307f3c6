"""A gateway holds a bounded number of bytes of request bodies."""

from __future__ import annotations

import unittest

import anyio

from bramleylead.gateway._body_memory import FREE_BYTES
from bramleylead.gateway._body_memory import MAX_HELD_BYTES
from bramleylead.gateway._body_memory import BodyMemory
from bramleylead.platform._types import CallKind
from testing.gateway._site import ReceivedResponse
from testing.gateway._site import Site
from testing.gateway._site import full_response
from testing.gateway._site import route
from testing.gateway.test_plain_calls import run_with_site

LARGE_BYTES = 900_000
CALLERS = 40
SLOW_S = 0.5
UNSAFE = route(CallKind.UNSAFE)


class BodyMemoryTest(unittest.TestCase):
    # Guards against callers with permitted bodies that make a gateway exceed its memory limit.
    def test_large_bodies_beyond_the_bound_are_refused_and_small_ones_are_served(self) -> None:
        answers: dict[str, ReceivedResponse] = {}

        async def main(site: Site) -> None:
            async def respond(received, stream) -> None:
                await anyio.sleep(SLOW_S)
                await stream.send(full_response(received, b"done"))

            async def ask(request: str, body: bytes) -> None:
                headers = {"bramleylead-request-id": request}
                answers[request] = await site.request("/unsafe/a", body=body, headers=headers)

            for number in range(CALLERS // 4):
                await site.add_replica(f"r{number}", respond)
            async with anyio.create_task_group() as tasks:
                for number in range(CALLERS):
                    tasks.start_soon(ask, f"large-{number}", b"x" * LARGE_BYTES)
                await anyio.sleep(SLOW_S / 2)
                self.assertLessEqual(site.app.held_body_bytes, MAX_HELD_BYTES)
                await ask("small", b"x" * FREE_BYTES)
            self.assertEqual(answers.pop("small").status, 200)
            refused = {name for name, answer in answers.items() if answer.status == 503}
            self.assertGreaterEqual(len(refused), CALLERS - MAX_HELD_BYTES // LARGE_BYTES - 1)
            self.assertTrue(all(answers[name].headers["retry-after"] for name in refused))
            ran = {received.id for r in site.replicas.values() for received in r.received}
            self.assertEqual(ran, {*answers, "small"} - refused)
            self.assertEqual(site.app.held_body_bytes, 0)

        run_with_site(main, UNSAFE)

    def test_a_body_over_the_bound_is_read_while_no_other_is_held(self) -> None:
        memory = BodyMemory(max_bytes=FREE_BYTES)
        with memory.hold() as first:
            self.assertTrue(all(first.admit(FREE_BYTES) for _ in range(5)))
            with memory.hold() as second:
                self.assertTrue(second.admit(FREE_BYTES))
                self.assertFalse(second.admit(1))
        self.assertEqual(memory.held_bytes, 0)
