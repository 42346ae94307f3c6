"""Streams: whole events in order, budgets enforced, turns stored before the end is sent."""

from __future__ import annotations

import unittest

import anyio
from anyio.abc import ByteStream

from bramleylead.ledger._records import Spending
from bramleylead.platform._types import CallKind
from testing.gateway._site import EVENT_TOKENS
from testing.gateway._site import ReceivedRequest
from testing.gateway._site import Site
from testing.gateway._site import chunk
from testing.gateway._site import event
from testing.gateway._site import event_stream
from testing.gateway._site import full_response
from testing.gateway._site import respond_with
from testing.gateway._site import response_head
from testing.gateway._site import route
from testing.gateway.test_plain_calls import refused_response
from testing.gateway.test_plain_calls import run_with_site

STREAM = route(CallKind.STREAM)
RESUMABLE = route(CallKind.STREAM, resumable=True)
STORED_TURNS = route(CallKind.STREAM, retains_turns=True)
BUDGET = {
    "bramleylead-program-id": "p",
    "bramleylead-token-budget": "100",
    "bramleylead-token-usage": "50,60",
}


def events(*numbers: int) -> bytes:
    return b"".join(event(number) for number in numbers)


def stream_events(*numbers: int):
    return respond_with(lambda received: event_stream(received, *numbers))


def break_stream_after(*numbers: int, rest: bytes = b""):
    """Return a script that closes within the stream, optionally within an event."""

    def make_response(received: ReceivedRequest) -> bytes:
        return event_stream(received, *numbers, end=False) + (chunk(rest) if rest else b"")

    return respond_with(make_response, then_close=True)


def resume_stream(*numbers: int):
    """Return a script that sends the events after the caller's last event."""

    def make_response(received: ReceivedRequest) -> bytes:
        last = int(received.headers.get("last-event-id", "0"))
        return event_stream(received, *(number for number in numbers if number > last))

    return respond_with(make_response)


class StreamTest(unittest.TestCase):
    def test_events_are_relayed_unchanged(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", stream_events(1, 2, 3))
            response = await site.request("/stream/x", body=b"q")
            self.assertEqual(
                (response.status, response.body, response.complete), (200, events(1, 2, 3), True)
            )
            self.assertEqual(response.headers["bramleylead-server-stamp"], "stamp-q1")

        run_with_site(main, STREAM)

    def test_events_are_relayed_as_they_arrive(self) -> None:
        async def stall(received: ReceivedRequest, stream: ByteStream) -> None:
            await stream.send(event_stream(received, 1, end=False))
            await anyio.sleep_forever()

        async def main(site: Site) -> None:
            await site.add_replica("a", stall)
            response = await site.request("/stream/x", body=b"q", disconnect_after_s=0.1)
            self.assertEqual((response.body, response.complete), (events(1), False))

        run_with_site(main, STREAM)

    def test_a_broken_stream_is_not_complete(self) -> None:
        async def main(site: Site) -> None:
            first = await site.add_replica("a", break_stream_after(1, 2, rest=b"id: 3\nda"))
            response = await site.request("/stream/x", body=b"q")
            self.assertEqual((response.body, response.complete), (events(1, 2), False))
            self.assertEqual(len(first.received), 1)

        run_with_site(main, STREAM)

    def test_a_stream_that_ends_within_an_event_is_not_complete(self) -> None:
        def make_response(received: ReceivedRequest) -> bytes:
            return event_stream(received, 1, end=False) + chunk(b"id: 2\nda") + b"0\r\n\r\n"

        async def main(site: Site) -> None:
            await site.add_replica("a", respond_with(make_response))
            response = await site.request("/stream/x", body=b"q")
            self.assertEqual((response.body, response.complete), (events(1), False))

        run_with_site(main, STREAM)

    def test_a_resumable_stream_continues_at_another_replica(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", break_stream_after(1, 2, rest=b"id: 3\nda"))
            second = await site.add_replica("b", resume_stream(1, 2, 3, 4))
            response = await site.request("/stream/x", body=b"q")
            self.assertEqual((response.body, response.complete), (events(1, 2, 3, 4), True))
            self.assertEqual(second.received[0].headers["last-event-id"], "2")

        run_with_site(main, RESUMABLE)

    def test_a_stream_that_is_not_resumable_is_not_retried(self) -> None:
        async def main(site: Site) -> None:
            scripts = [respond_with(lambda received: b"", then_close=True)] * 2
            replicas = [
                await site.add_replica(name, script)
                for name, script in zip("ab", scripts, strict=True)
            ]
            response = await site.request("/stream/x", body=b"q")
            self.assertEqual(response.status, 502)
            self.assertEqual(sum(len(replica.received) for replica in replicas), 1)

        run_with_site(main, STREAM)

    def test_a_stalled_stream_is_aborted_at_the_route_s_timeout(self) -> None:
        async def stall(received: ReceivedRequest, stream: ByteStream) -> None:
            await stream.send(event_stream(received, 1, end=False))
            await anyio.sleep_forever()

        async def main(site: Site) -> None:
            await site.add_replica("a", stall)
            started = anyio.current_time()
            response = await site.request("/stream/x", body=b"q")
            self.assertFalse(response.complete)
            self.assertAlmostEqual(anyio.current_time() - started, STREAM.timeout_s, delta=0.1)

        run_with_site(main, STREAM)

    def test_a_replica_s_error_response_is_returned(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica(
                "a", respond_with(lambda received: full_response(received, b"no", "500 Oops"))
            )
            response = await site.request("/stream/x", body=b"q")
            self.assertEqual((response.status, response.body), (500, b"no"))

        run_with_site(main, STREAM)


class BudgetTest(unittest.TestCase):
    def test_a_turn_that_exceeds_the_budget_is_refused_and_not_sent(self) -> None:
        async def main(site: Site) -> None:
            replica = await site.add_replica("a", stream_events(1))
            site.ledger.spendings.append(Spending("p", "earlier", 41, True))
            response = await site.request("/stream/x", body=b"q", headers=BUDGET)
            self.assertEqual((response.status, replica.received), (402, []))
            await anyio.sleep(0.1)
            self.assertEqual(site.ledger.spendings_of("p")["q1"].tokens, 0)

        run_with_site(main, STREAM)

    def test_relayed_events_count_as_spent(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", break_stream_after(1, 2))
            await site.request("/stream/x", body=b"q", headers=BUDGET)
            await anyio.sleep(0.1)
            spending = site.ledger.spendings_of("p")["q1"]
            self.assertEqual((spending.tokens, spending.settled), (2 * EVENT_TOKENS, True))

        run_with_site(main, STREAM)

    def test_a_turn_that_no_replica_ran_spends_nothing(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", respond_with(refused_response))
            response = await site.request("/stream/x", body=b"q", headers=BUDGET)
            self.assertEqual(response.status, 503)
            await anyio.sleep(0.1)
            self.assertEqual(site.ledger.spendings_of("p")["q1"].tokens, 0)

        run_with_site(main, STREAM)

    def test_each_turn_under_the_same_id_counts_as_spent(self) -> None:
        """Once one entry was settled, later turns under the same id did not count as spent."""

        async def main(site: Site) -> None:
            await site.add_replica("a", stream_events(1, 2))
            statuses = [
                (await site.request("/stream/x", body=b"q", headers=BUDGET)).status
                for _ in range(4)
            ]
            self.assertEqual(statuses, [200, 200, 200, 402])

        run_with_site(main, STORED_TURNS)

    def test_a_turn_is_settled_once_the_ledger_recovers(self) -> None:
        async def main(site: Site) -> None:
            async def script(received: ReceivedRequest, stream: ByteStream) -> None:
                site.ledger.unavailable = True
                await stream.send(event_stream(received, 1))

            await site.add_replica("a", script)
            await site.request("/stream/x", body=b"q", headers=BUDGET)
            await anyio.sleep(0.4)
            self.assertFalse(site.ledger.spendings_of("p")["q1"].settled)
            site.ledger.unavailable = False
            await anyio.sleep(2)
            spending = site.ledger.spendings_of("p")["q1"]
            self.assertEqual((spending.tokens, spending.settled), (EVENT_TOKENS, True))

        run_with_site(main, STREAM)

    def test_while_the_ledger_is_unavailable_no_turn_with_a_budget_is_sent(self) -> None:
        async def main(site: Site) -> None:
            replica = await site.add_replica("a", stream_events(1))
            site.ledger.unavailable = True
            response = await site.request("/stream/x", body=b"q", headers=BUDGET)
            self.assertEqual((response.status, replica.received), (503, []))
            self.assertIn("retry-after", response.headers)

        run_with_site(main, STREAM)

    def test_events_relayed_before_a_disconnect_count_as_spent(self) -> None:
        async def stall(received: ReceivedRequest, stream: ByteStream) -> None:
            await stream.send(event_stream(received, 1, end=False))
            await anyio.sleep_forever()

        async def main(site: Site) -> None:
            await site.add_replica("a", stall)
            await site.request("/stream/x", body=b"q", headers=BUDGET, disconnect_after_s=0.2)
            await anyio.sleep(0.1)
            spending = site.ledger.spendings_of("p")["q1"]
            self.assertEqual((spending.tokens, spending.settled), (EVENT_TOKENS, True))

        run_with_site(main, STREAM)


class KeptTurnTest(unittest.TestCase):
    def test_a_turn_is_sent_with_its_previous_inputs_and_outputs(self) -> None:
        async def main(site: Site) -> None:
            replica = await site.add_replica("a", stream_events(1, 2))
            previous = ""
            for name in ("t1", "t2", "t3"):
                headers = {"bramleylead-request-id": name}
                if previous:
                    headers["bramleylead-previous-turn"] = previous
                response = await site.request(
                    "/stream/x", body=f"in {name};".encode(), headers=headers
                )
                self.assertTrue(response.complete)
                previous = name
            output = b"word1\nword2\n"
            expected = b"in t1;" + output + b"in t2;" + output + b"in t3;"
            self.assertEqual(replica.received[-1].body, expected)

        run_with_site(main, STORED_TURNS)

    def test_a_turn_from_another_gateway_is_found_in_the_ledger(self) -> None:
        async def main(site: Site) -> None:
            replica = await site.add_replica("a", stream_events(1))
            await site.request("/stream/x", body=b"one;", headers={"bramleylead-request-id": "t1"})
            history = site.app._streams._history
            history._cache.clear()
            await site.request(
                "/stream/x", body=b"two", headers={"bramleylead-previous-turn": "t1"}
            )
            self.assertEqual(replica.received[-1].body, b"one;word1\ntwo")

        run_with_site(main, STORED_TURNS)

    def test_the_end_is_not_sent_unless_the_turn_is_stored(self) -> None:
        async def main(site: Site) -> None:
            async def script(received: ReceivedRequest, stream: ByteStream) -> None:
                site.ledger.unavailable = True
                await stream.send(event_stream(received, 1))

            await site.add_replica("a", script)
            response = await site.request("/stream/x", body=b"q")
            self.assertEqual((response.body, response.complete), (events(1), False))

        run_with_site(main, STORED_TURNS)

    def test_a_broken_turn_is_not_stored(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", break_stream_after(1))
            await site.request("/stream/x", body=b"q")
            self.assertEqual(site.ledger.turns, {})

        run_with_site(main, STORED_TURNS)

    def test_an_unknown_turn_is_refused_as_unknown_only_if_that_is_certain(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", stream_events(1))
            headers = {"bramleylead-previous-turn": "none"}
            self.assertEqual(
                (await site.request("/stream/x", body=b"q", headers=headers)).status, 404
            )
            site.ledger.unavailable = True
            self.assertEqual(
                (await site.request("/stream/x", body=b"q", headers=headers)).status, 503
            )

        run_with_site(main, STORED_TURNS)

    def test_a_turn_without_events_is_stored_and_complete(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", stream_events())
            response = await site.request("/stream/x", body=b"q")
            self.assertEqual((response.status, response.body, response.complete), (200, b"", True))
            self.assertIn("q1", site.ledger.turns)

        run_with_site(main, STORED_TURNS)


class ContentLengthTest(unittest.TestCase):
    def test_a_response_shorter_than_its_content_length_is_not_complete(self) -> None:
        async def main(site: Site) -> None:
            script = respond_with(
                lambda received: response_head(received, "200 OK", "Content-Length: 99") + event(1),
                then_close=True,
            )
            await site.add_replica("a", script)
            response = await site.request("/stream/x", body=b"q")
            self.assertEqual((response.body, response.complete), (events(1), False))

        run_with_site(main, STREAM)
