"""For each failure that a caller can see, the story told from the log names its cause."""

from __future__ import annotations

import json
import unittest
from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import structlog
from anyio.abc import ByteStream
from structlog.testing import capture_logs

from bramleylead.cli._story import read_lines
from bramleylead.cli._story import tell
from bramleylead.gateway._types import CallKind
from bramleylead.gateway._types import Route
from testing.gateway._site import Answered
from testing.gateway._site import Asked
from testing.gateway._site import Site
from testing.gateway._site import chunk
from testing.gateway._site import route
from testing.gateway._site import says
from testing.gateway._site import stream_of
from testing.gateway._site import whole
from testing.gateway.test_plain import full
from testing.gateway.test_plain import hang
from testing.gateway.test_plain import play
from testing.gateway.test_streams import BUDGET
from testing.gateway.test_streams import KEPT
from testing.gateway.test_streams import RESUMABLE
from testing.gateway.test_streams import breaks_after
from testing.gateway.test_streams import goes_on
from testing.gateway.test_streams import tells

UNSAFE = route(CallKind.UNSAFE)
PLAIN = route(CallKind.STREAM)


def story_of(main: Callable[[Site], Awaitable[None]], *routes: Route) -> str:
    """Play a trial and tell the story of request ``q1`` from its lines."""
    structlog.reset_defaults()
    with capture_logs() as captured:
        play(main, *routes)
    lines = []
    for number, fields in enumerate(captured):
        timestamp = f"2026-10-05T11:06:00.{number:06d}Z"
        lines.append(json.dumps({**fields, "node": "g", "timestamp": timestamp}, default=str))
    return "\n".join(tell(read_lines([("log", lines)]), "q1"))


class CauseTest(unittest.TestCase):
    def ask(
        self,
        path: str,
        *,
        status: int,
        replicas: dict[str, Callable[[Asked, ByteStream], Awaitable[None]]],
        prepare: Callable[[Site], None] = lambda site: None,
        headers: dict[str, str] | None = None,
        routes: tuple[Route, ...] = (UNSAFE, PLAIN),
        leave_after_s: float | None = None,
    ) -> str:
        """Ask once, check the status, and return the story."""
        got: list[Answered] = []

        async def main(site: Site) -> None:
            for name, script in replicas.items():
                await site.add_replica(name, script)
            prepare(site)
            answer = await site.ask(path, body=b"x", headers=headers, leave_after_s=leave_after_s)
            got.append(answer)
            await anyio.sleep(0.1)

        told = story_of(main, *routes)
        self.assertEqual(got[0].status, status)
        return told

    def test_no_configuration_yet(self) -> None:
        def forget(site: Site) -> None:
            site.directory._configuration = None

        told = self.ask("/unsafe/x", status=503, replicas={}, prepare=forget)
        self.assertIn("no configuration is known yet", told)

    def test_no_route(self) -> None:
        told = self.ask("/other/x", status=404, replicas={})
        self.assertIn("no route at version 1", told)

    def test_no_replica(self) -> None:
        told = self.ask("/unsafe/x", status=503, replicas={})
        self.assertIn("no replica is in use", told)

    def test_full_replicas(self) -> None:
        told = self.ask("/unsafe/x", status=503, replicas={"a": says(full), "b": says(full)})
        self.assertIn("replica_refused: replica=a", told)
        self.assertIn("ran=not run", told)

    def test_a_replica_that_lost_its_answer(self) -> None:
        lost = says(lambda asked: b"", then_close=True)
        told = self.ask("/unsafe/x", status=502, replicas={"a": lost})
        self.assertIn("may_have_run=True", told)
        self.assertIn("the connection ended before the response did", told)
        self.assertIn("kind=endpoint_lost", told)

    def test_a_replica_that_does_not_answer_in_time(self) -> None:
        told = self.ask("/unsafe/x", status=504, replicas={"a": hang})
        self.assertIn("no answer within the request's time", told)

    def test_a_replica_s_own_failure(self) -> None:
        own = says(lambda asked: whole(asked, b"no", "500 Oops"))
        told = self.ask("/unsafe/x", status=500, replicas={"a": own})
        self.assertIn("answered: took_s=", told)
        self.assertIn("status=500", told)
        self.assertIn("replica=a", told)

    def test_an_answer_of_a_stranger(self) -> None:
        unsigned = says(lambda asked: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        told = self.ask("/unsafe/x", status=502, replicas={"a": unsigned})
        self.assertIn("not the replica's own answer", told)

    def test_a_stream_cut_midway(self) -> None:
        told = self.ask("/stream/x", status=200, replicas={"a": breaks_after(1, 2)})
        self.assertIn("stream_given_up: events=2", told)
        self.assertIn("broken_off", told)

    def test_a_stream_that_went_silent(self) -> None:
        async def silent(asked: Asked, stream: ByteStream) -> None:
            await stream.send(stream_of(asked, 1, end=False))
            await anyio.sleep_forever()

        told = self.ask("/stream/x", status=200, replicas={"a": silent})
        self.assertIn("late=True", told)

    def test_a_stream_that_went_on_elsewhere(self) -> None:
        replicas = {"a": breaks_after(1), "b": goes_on(1, 2)}
        told = self.ask("/stream/x", status=200, replicas=replicas, routes=(RESUMABLE,))
        self.assertIn("try_failed: replica=a", told)
        self.assertIn("answered", told)

    def test_a_spent_budget(self) -> None:
        headers = {**BUDGET, "bramleylead-token-budget": "59"}
        told = self.ask("/stream/x", status=402, replicas={"a": tells(1)}, headers=headers)
        self.assertIn("budget_spent: budget=59, spent=0, most=60", told)

    def test_a_ledger_out_of_reach(self) -> None:
        def take_away(site: Site) -> None:
            site.ledger.out = True

        told = self.ask(
            "/stream/x", status=503, replicas={"a": tells(1)}, headers=BUDGET, prepare=take_away
        )
        self.assertIn("kind=not_durable", told)
        self.assertIn("the ledger is out", told)

    def test_a_turn_that_is_not_kept(self) -> None:
        told = self.ask(
            "/stream/x",
            status=404,
            replicas={"a": tells(1)},
            headers={"bramleylead-previous-turn": "gone"},
            routes=(KEPT,),
        )
        self.assertIn("turn_not_found: previous=gone, kind=unknown_turn", told)

    def test_an_end_that_could_not_be_kept(self) -> None:
        site_: list[Site] = []

        async def script(asked: Asked, stream: ByteStream) -> None:
            site_[0].ledger.out = True
            await stream.send(stream_of(asked, 1, end=False) + chunk(b"") * 0 + b"0\r\n\r\n")

        told = self.ask(
            "/stream/x",
            status=200,
            replicas={"a": script},
            prepare=site_.append,
            routes=(KEPT,),
        )
        self.assertIn("turn_not_kept: reason=the ledger is out", told)

    def test_a_caller_that_left(self) -> None:
        told = self.ask("/unsafe/x", status=0, replicas={"a": hang}, leave_after_s=0.2)
        self.assertIn("caller_gone", told)
