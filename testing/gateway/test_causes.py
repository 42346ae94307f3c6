"""For each failure that a caller can see, the explanation from the log names its cause."""

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
from bramleylead.platform._types import CallKind
from bramleylead.platform._types import Route
from testing.gateway._site import ReceivedRequest
from testing.gateway._site import ReceivedResponse
from testing.gateway._site import Site
from testing.gateway._site import chunk
from testing.gateway._site import event_stream
from testing.gateway._site import full_response
from testing.gateway._site import respond_with
from testing.gateway._site import route
from testing.gateway.test_plain_calls import never_respond
from testing.gateway.test_plain_calls import refused_response
from testing.gateway.test_plain_calls import run_with_site
from testing.gateway.test_streams import BUDGET
from testing.gateway.test_streams import RESUMABLE
from testing.gateway.test_streams import STORED_TURNS
from testing.gateway.test_streams import break_stream_after
from testing.gateway.test_streams import resume_stream
from testing.gateway.test_streams import stream_events

UNSAFE = route(CallKind.UNSAFE)
STREAM = route(CallKind.STREAM)


def story_of(main: Callable[[Site], Awaitable[None]], *routes: Route) -> str:
    """Run a test and return the explanation of request ``q1`` from its log."""
    structlog.reset_defaults()
    with capture_logs() as captured:
        run_with_site(main, *routes)
    lines = []
    for number, fields in enumerate(captured):
        timestamp = f"2026-10-05T11:06:00.{number:06d}Z"
        lines.append(json.dumps({**fields, "node": "g", "timestamp": timestamp}, default=str))
    return "\n".join(tell(read_lines([("log", lines)]), "q1"))


class CauseTest(unittest.TestCase):
    def request(
        self,
        path: str,
        *,
        status: int,
        replicas: dict[str, Callable[[ReceivedRequest, ByteStream], Awaitable[None]]],
        prepare: Callable[[Site], None] = lambda site: None,
        headers: dict[str, str] | None = None,
        routes: tuple[Route, ...] = (UNSAFE, STREAM),
        disconnect_after_s: float | None = None,
    ) -> str:
        """Send one request, check the status, and return the explanation."""
        responses: list[ReceivedResponse] = []

        async def main(site: Site) -> None:
            for name, script in replicas.items():
                await site.add_replica(name, script)
            prepare(site)
            answer = await site.request(
                path, body=b"x", headers=headers, disconnect_after_s=disconnect_after_s
            )
            responses.append(answer)
            await anyio.sleep(0.1)

        story = story_of(main, *routes)
        self.assertEqual(responses[0].status, status)
        return story

    def test_no_configuration_yet(self) -> None:
        def clear_configuration(site: Site) -> None:
            site.directory._configuration = None

        story = self.request("/unsafe/x", status=503, replicas={}, prepare=clear_configuration)
        self.assertIn("no configuration is known yet", story)

    def test_no_route(self) -> None:
        story = self.request("/other/x", status=404, replicas={})
        self.assertIn("no route in configuration version 1", story)

    def test_no_replica(self) -> None:
        story = self.request("/unsafe/x", status=503, replicas={})
        self.assertIn("no replica is available", story)

    def test_replicas_without_capacity(self) -> None:
        story = self.request(
            "/unsafe/x",
            status=503,
            replicas={"a": respond_with(refused_response), "b": respond_with(refused_response)},
        )
        self.assertIn("replica_refused: replica=a", story)
        self.assertIn("ran=not run", story)

    def test_a_replica_that_closes_without_a_response(self) -> None:
        lost = respond_with(lambda received: b"", then_close=True)
        story = self.request("/unsafe/x", status=502, replicas={"a": lost})
        self.assertIn("may_have_run=True", story)
        self.assertIn("the connection closed before the response was complete", story)
        self.assertIn("kind=endpoint_lost", story)

    def test_a_replica_that_misses_the_deadline(self) -> None:
        story = self.request("/unsafe/x", status=504, replicas={"a": never_respond})
        self.assertIn("no response within the request's deadline", story)

    def test_an_error_response_of_a_replica(self) -> None:
        error = respond_with(lambda received: full_response(received, b"no", "500 Oops"))
        story = self.request("/unsafe/x", status=500, replicas={"a": error})
        self.assertIn("answered: took_s=", story)
        self.assertIn("status=500", story)
        self.assertIn("replica=a", story)

    def test_an_unsigned_response(self) -> None:
        unsigned = respond_with(lambda received: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        story = self.request("/unsafe/x", status=502, replicas={"a": unsigned})
        self.assertIn("unsigned or unexpectedly encoded response", story)

    def test_a_stream_that_is_cut_off(self) -> None:
        story = self.request("/stream/x", status=200, replicas={"a": break_stream_after(1, 2)})
        self.assertIn("stream_given_up: events=2", story)
        self.assertIn("broken_off", story)

    def test_a_stream_that_stalls(self) -> None:
        async def stall(received: ReceivedRequest, stream: ByteStream) -> None:
            await stream.send(event_stream(received, 1, end=False))
            await anyio.sleep_forever()

        story = self.request("/stream/x", status=200, replicas={"a": stall})
        self.assertIn("late=True", story)

    def test_a_stream_resumed_at_another_replica(self) -> None:
        replicas = {"a": break_stream_after(1), "b": resume_stream(1, 2)}
        story = self.request("/stream/x", status=200, replicas=replicas, routes=(RESUMABLE,))
        self.assertIn("try_failed: replica=a", story)
        self.assertIn("answered", story)

    def test_an_exhausted_budget(self) -> None:
        headers = {**BUDGET, "bramleylead-token-budget": "59"}
        story = self.request(
            "/stream/x", status=402, replicas={"a": stream_events(1)}, headers=headers
        )
        self.assertIn("budget_spent: budget=59, spent=0, most=60", story)

    def test_an_unavailable_ledger(self) -> None:
        def make_ledger_unavailable(site: Site) -> None:
            site.ledger.unavailable = True

        story = self.request(
            "/stream/x",
            status=503,
            replicas={"a": stream_events(1)},
            headers=BUDGET,
            prepare=make_ledger_unavailable,
        )
        self.assertIn("kind=not_durable", story)
        self.assertIn("the ledger is unavailable", story)

    def test_an_unknown_previous_turn(self) -> None:
        story = self.request(
            "/stream/x",
            status=404,
            replicas={"a": stream_events(1)},
            headers={"bramleylead-previous-turn": "gone"},
            routes=(STORED_TURNS,),
        )
        self.assertIn("turn_not_found: previous=gone, kind=unknown_turn", story)

    def test_a_turn_that_could_not_be_stored(self) -> None:
        sites: list[Site] = []

        async def script(received: ReceivedRequest, stream: ByteStream) -> None:
            sites[0].ledger.unavailable = True
            await stream.send(event_stream(received, 1, end=False) + chunk(b"") * 0 + b"0\r\n\r\n")

        story = self.request(
            "/stream/x",
            status=200,
            replicas={"a": script},
            prepare=sites.append,
            routes=(STORED_TURNS,),
        )
        self.assertIn("turn_not_kept: reason=the ledger is unavailable", story)

    def test_a_caller_that_disconnects(self) -> None:
        story = self.request(
            "/unsafe/x", status=0, replicas={"a": never_respond}, disconnect_after_s=0.2
        )
        self.assertIn("caller_gone", story)
