"""Tests the HTTP clients of engines and services over real sockets, with each kind of failure."""

from __future__ import annotations

import contextlib
import random
import unittest
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import SocketAttribute
from anyio.abc import SocketStream
from result import Ok

from bramleylead.backends import BackendErrorKind
from bramleylead.backends import HttpBackends
from bramleylead.backends import Message
from bramleylead.backends import Order
from bramleylead.backends import OrderKind
from bramleylead.connection._events import EventReader
from bramleylead.standins import FakeEngine
from bramleylead.standins import FakeService
from bramleylead.standins import ToolModel
from bramleylead.standins import answer_to
from bramleylead.standins import serve_engine
from bramleylead.standins import serve_tool
from bramleylead.version import EndpointKind
from testing.standins._trial import EXACT
from testing.standins._trial import ask
from testing.standins._trial import collect
from testing.standins._trial import endpoint
from testing.standins._trial import issue

FAST = EXACT.model_copy(update={"step_base_ms": 0.2, "checks_fence": True})
PROGRESS_TIMEOUT_S = 0.3
CLOSED_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream)


def with_engine(body: Callable[[FakeEngine, Any], Awaitable[Any]], settings: Any = FAST) -> Any:
    async def main() -> Any:
        engine = FakeEngine("engine", settings, rng=random.Random(1))
        async with (
            serve_engine(engine, "127.0.0.1:0") as address,
            HttpBackends(progress_s=PROGRESS_TIMEOUT_S) as backends,
        ):
            client = backends.engine("e", endpoint(EndpointKind.ENGINE, address))
            return await body(engine, client)

    return anyio.run(main)


def with_service(
    body: Callable[[FakeService, Any], Awaitable[Any]], tool: ToolModel, **options: Any
) -> Any:
    async def main() -> Any:
        service = FakeService("service", {"issue": tool}, rng=random.Random(1), **options)
        async with serve_tool(service, "127.0.0.1:0") as address, HttpBackends() as backends:
            client = backends.service("s", endpoint(EndpointKind.SERVICE, address))
            return await body(service, client)

    return anyio.run(main)


def with_raw_server(
    handler: Callable[[SocketStream], Awaitable[None]],
    body: Callable[[HttpBackends, str], Awaitable[Any]],
) -> Any:
    """Run a body against a server whose raw response the test defines."""

    async def main() -> Any:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        address = f"127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, handler)
            async with HttpBackends(progress_s=PROGRESS_TIMEOUT_S) as backends:
                outcome = await body(backends, address)
            tasks.cancel_scope.cancel()
        await listener.aclose()
        return outcome

    return anyio.run(main)


async def read_request(stream: SocketStream) -> bytes:
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    return data


def tolerant(
    handler: Callable[[SocketStream], Awaitable[None]],
) -> Callable[[SocketStream], Awaitable[None]]:
    """Return a handler that ends when the client closes its connection."""

    async def handle(stream: SocketStream) -> None:
        with contextlib.suppress(*CLOSED_ERRORS):
            await handler(stream)

    return handle


def reply(status: str, body: str, headers: str = "") -> bytes:
    head = f"HTTP/1.1 {status}\r\ncontent-length: {len(body)}\r\n{headers}\r\n"
    return (head + body).encode()


UNDECODABLE = ("[" * 50_000 + "]" * 50_000, "9" * 4_901, str(2**64), "1e999")
"""JSON that can't be decoded, or that no message between nodes can carry."""
FAST_TOOL = ToolModel(duration_s=0.0, spread_s=0.0)


class HttpEngineTest(unittest.TestCase):
    def test_an_answer_is_complete_with_token_counts(self) -> None:
        async def body(engine: FakeEngine, client: Any) -> None:
            text, chunks, error = await collect(client, ask("p/1/1", "[tokens=50] [output=100]"))
            self.assertIsNone(error)
            self.assertEqual((chunks[0].prompt_tokens, chunks[-1].finish), (50, "stop"))
            again, chunks, _ = await collect(client, ask("p/2/1", "[tokens=50] [output=100]"))
            self.assertEqual((again, chunks[0].cached_tokens), (text, 50))

        with_engine(body)

    def test_leaving_the_stream_cancels_the_call(self) -> None:
        async def body(engine: FakeEngine, client: Any) -> None:
            async with client.generate(ask("p/1/1", "[output=2000]")) as stream:
                await stream.__anext__()
            self.assertEqual(engine.load_now().running, 0)
            self.assertEqual(engine.ledger.cancelled, 1)

        with_engine(body)

    def test_a_broken_stream_is_resumed_where_it_stopped(self) -> None:
        async def body(engine: FakeEngine, client: Any) -> None:
            chunks = []
            async with client.generate(ask("p/1/1", "[output=600]")) as stream:
                async for item in stream:
                    chunks.append(item.ok_value)
                    if len(chunks) == 2:
                        await stream._connection.aclose()
                self.assertEqual(stream.resumes, 1)
            text = "".join(chunk.text for chunk in chunks)
            whole = answer_to([Message("user", "[output=600]")], 2000).text(0, 600)
            self.assertEqual(text, whole)
            self.assertEqual(engine.ledger.calls, 1)

        with_engine(body)

    def test_a_stalled_stream_that_sends_a_byte_now_and_then_is_lost(self) -> None:
        async def trickle(stream: SocketStream) -> None:
            async with stream:
                await read_request(stream)
                await stream.send(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
                while True:
                    await anyio.sleep(PROGRESS_TIMEOUT_S / 4)
                    await stream.send(b"1\r\n:\r\n")

        async def body(backends: HttpBackends, address: str) -> None:
            client = backends.engine("e", endpoint(EndpointKind.ENGINE, address))
            with anyio.fail_after(20 * PROGRESS_TIMEOUT_S):
                _, _, error = await collect(client, ask())
            self.assertEqual(error.kind, BackendErrorKind.LOST)

        with_raw_server(tolerant(trickle), body)

    def test_a_call_to_a_hung_engine_is_lost(self) -> None:
        async def body(engine: FakeEngine, client: Any) -> None:
            engine.hang()
            _, _, error = await collect(client, ask())
            self.assertEqual(error.kind, BackendErrorKind.LOST)

        with_engine(body)

    def test_a_refused_call_did_not_run(self) -> None:
        async def body(engine: FakeEngine, client: Any) -> None:
            _, _, error = await collect(client, ask()._replace(model="unknown"))
            self.assertEqual(error.kind, BackendErrorKind.REFUSED)

        with_engine(body)

    def test_a_call_without_response_is_resent_on_a_new_connection(self) -> None:
        connections = []
        event = '{"choices":[{"delta":{"content":"hi"},"finish_reason":"stop"}],'
        event += '"bramleylead":{"tokens":1}}'

        async def handler(stream: SocketStream) -> None:
            async with stream:
                connections.append(stream)
                await read_request(stream)
                if len(connections) > 1:
                    await stream.send(reply("200 OK", f"data: {event}\n\n"))
                await anyio.sleep_forever()

        async def body(backends: HttpBackends, address: str) -> Any:
            client = backends.engine("e", endpoint(EndpointKind.ENGINE, address))
            return await collect(client, ask())

        text, _, error = with_raw_server(handler, body)
        self.assertEqual((text, error), ("hi", None))

    def test_a_refused_connection_means_not_sent(self) -> None:
        async def body(backends: HttpBackends, address: str) -> None:
            client = backends.engine("e", endpoint(EndpointKind.ENGINE, "127.0.0.1:9"))
            _, _, error = await collect(client, ask())
            self.assertEqual(error.kind, BackendErrorKind.NOT_SENT)

        async def handler(stream: SocketStream) -> None:
            await stream.aclose()

        with_raw_server(handler, body)

    def test_cache_and_load_and_orders(self) -> None:
        async def body(engine: FakeEngine, client: Any) -> None:
            await collect(client, ask("p/1/1", "[tokens=50] [output=10]"))
            page = (await client.cache_events(after=0)).ok_value
            self.assertEqual([(e.program, e.tokens) for e in page.events], [("p", 60)])
            self.assertTrue((await client.cache_contents()).ok_value.complete)
            block = (await client.export_kv("p")).ok_value
            self.assertEqual(await client.release("p"), Ok(60))
            self.assertEqual(await client.import_kv("p", block), Ok(60))
            missing = await client.export_kv("q")
            self.assertEqual(missing.err_value.kind, BackendErrorKind.REFUSED)
            self.assertEqual((await client.load()).ok_value.kv_total_tokens, FAST.kv_tokens)
            self.assertEqual(await client.order(Order(OrderKind.CHANGE_ROLE, "a", 2)), Ok(None))
            old = await client.order(Order(OrderKind.CHANGE_ROLE, "b", 1))
            self.assertEqual(old.err_value.kind, BackendErrorKind.STALE_FENCE)

        with_engine(body)

    def _error_kind_of(self, answer: bytes) -> BackendErrorKind:
        async def handler(stream: SocketStream) -> None:
            async with stream:
                await read_request(stream)
                await stream.send(answer)
                await anyio.sleep_forever()

        async def body(backends: HttpBackends, address: str) -> Any:
            client = backends.engine("e", endpoint(EndpointKind.ENGINE, address))
            return (await collect(client, ask()))[2].kind

        return with_raw_server(handler, body)

    def test_a_call_with_a_malformed_event_is_lost(self) -> None:
        for event in ("{", "[]", '{"choices": []}', '{"choices":[{"delta":{}}]}', *UNDECODABLE):
            with self.subTest(event):
                kind = self._error_kind_of(reply("200 OK", f"data: {event}\n\n"))
                self.assertEqual(kind, BackendErrorKind.LOST)

    def test_a_call_with_a_non_http_response_is_lost(self) -> None:
        self.assertEqual(self._error_kind_of(b"hello\r\n\r\n"), BackendErrorKind.LOST)

    def test_a_call_without_any_response_is_lost(self) -> None:
        self.assertEqual(self._error_kind_of(b""), BackendErrorKind.LOST)


class HttpServiceTest(unittest.TestCase):
    def test_a_call_runs_once(self) -> None:
        async def body(service: FakeService, client: Any) -> None:
            answer = await client.invoke(issue(), timeout_s=2)
            self.assertEqual(answer.ok_value["call"], "p/1")
            self.assertEqual(service.ledger.effects, {"p/1": 1})

        with_service(body, FAST_TOOL)

    def test_the_error_kind_shows_whether_the_call_ran(self) -> None:
        cases = (
            ({"refuse_rate": 1.0}, BackendErrorKind.REFUSED, 0),
            ({"fail_rate": 1.0}, BackendErrorKind.FAILED, 1),
            ({"lose_reply_rate": 1.0}, BackendErrorKind.LOST, 1),
        )
        for faults, kind, effects in cases:
            with self.subTest(kind):

                async def body(service: FakeService, client: Any) -> Any:
                    answer = await client.invoke(issue(), timeout_s=0.2)
                    return answer.err_value.kind, sum(service.ledger.effects.values())

                tool = FAST_TOOL.model_copy(update=faults)
                self.assertEqual(with_service(body, tool), (kind, effects))

    def test_an_old_fencing_number_is_refused(self) -> None:
        async def body(service: FakeService, client: Any) -> None:
            await client.invoke(issue("p/1", 5), timeout_s=2)
            old = await client.invoke(issue("p/2", 4), timeout_s=2)
            self.assertEqual(old.err_value.kind, BackendErrorKind.STALE_FENCE)

        with_service(body, FAST_TOOL, checks_fence=True)

    def _kind_of(self, answer: bytes) -> BackendErrorKind:
        async def handler(stream: SocketStream) -> None:
            async with stream:
                await read_request(stream)
                await stream.send(answer)

        async def body(backends: HttpBackends, address: str) -> Any:
            client = backends.service("s", endpoint(EndpointKind.SERVICE, address))
            return (await client.invoke(issue(), timeout_s=2)).err_value.kind

        return with_raw_server(handler, body)

    def test_only_an_explicit_statement_counts_as_not_run(self) -> None:
        kinds = BackendErrorKind
        cases = (
            (reply("503 Busy", ""), kinds.LOST),
            (reply("503 Busy", "", "x-ran: not run\r\n"), kinds.REFUSED),
            (reply("429 Slow down", ""), kinds.REFUSED),
            (reply("500 Oops", "{}"), kinds.LOST),
            (reply("422 No", '{"error":{"ran":"ran"}}'), kinds.FAILED),
            (reply("200 OK", "not json"), kinds.LOST),
            (reply("200 OK", "[]"), kinds.LOST),
            (b"HTTP/1.1 200 OK\r\ncontent-length: 50\r\n\r\n{", kinds.LOST),
            *((reply("200 OK", f'{{"value":{odd}}}'), kinds.LOST) for odd in UNDECODABLE),
            *((reply("500 Oops", f'{{"error":{odd}}}'), kinds.LOST) for odd in UNDECODABLE),
        )
        for answer, kind in cases:
            with self.subTest(answer):
                self.assertEqual(self._kind_of(answer), kind)

    def test_a_call_whose_connection_closes_early_is_lost(self) -> None:
        self.assertEqual(self._kind_of(b""), BackendErrorKind.LOST)


class FactoryTest(unittest.TestCase):
    def test_a_client_is_cached_and_must_match_the_endpoint_kind(self) -> None:
        async def main() -> None:
            async with HttpBackends() as backends:
                engine = endpoint(EndpointKind.ENGINE, "127.0.0.1:9")
                self.assertIs(backends.engine("e", engine), backends.engine("e", engine))
                with self.assertRaises(ValueError):
                    backends.service("e", engine)

        anyio.run(main)


class EventReaderTest(unittest.TestCase):
    def test_events_are_parsed_however_the_body_is_split(self) -> None:
        body = b": waiting\n\ndata: one\r\n\r\ndata: two\ndata: lines\n\n"
        for size in range(1, len(body) + 1):
            reader = EventReader()
            parts = [body[start : start + size] for start in range(0, len(body), size)]
            events = [event for part in parts for event in reader.feed_data(part)]
            self.assertEqual(events, [b"one", b"two\nlines"])

    def test_an_oversized_event_is_rejected(self) -> None:
        reader = EventReader()
        with self.assertRaises(ValueError):
            for _ in range(5):
                reader.feed(b"x" * 1_000_000)


if __name__ == "__main__":
    unittest.main()
