"""Calls between nodes over the fake network."""

from __future__ import annotations

import unittest
import unittest.mock
from typing import Any
from typing import NamedTuple

import anyio
import msgpack
from anyio.abc import ByteStream
from result import Err
from result import Ok

from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.connection import Reply
from bramleylead.connection import _client
from bramleylead.connection import message
from bramleylead.connection._frames import FrameStream
from bramleylead.connection._handshake import client_handshake
from bramleylead.errors import ErrorKind
from bramleylead.standins import FakeNetwork
from bramleylead.standins import run_virtual

KEY = "a shared key of the cluster"
ADDRESS = "10.0.0.2:7000"


@message(9001)
class Echo(NamedTuple):
    text: str
    times: int = 1


@message(9002)
class Slow(NamedTuple):
    pass


async def _echo(request: Echo, reply: Reply) -> None:
    for _ in range(request.times):
        await reply.send(request)


async def _run_with_pair(test: Any, *, server_key: str = KEY) -> Any:
    network = FakeNetwork({"10.0.0.1": ("r1", "d1"), "10.0.0.2": ("r2", "d2")})
    server = PeerServer(node="b", cluster_key=server_key)
    server.handle(Echo, _echo)
    async with anyio.create_task_group() as task_group:
        await task_group.start(network.view("10.0.0.2").serve, ADDRESS, server.serve_stream)
        async with PeerClient(network.view("10.0.0.1"), node="a", cluster_key=KEY) as client:
            result = await test(network, server, client)
        task_group.cancel_scope.cancel()
    return result


class UnexpectedErrorTest(unittest.TestCase):
    # Guards against a process that ends since one connection to a node met an unexpected error.
    def test_an_unexpected_error_of_a_connection_fails_its_calls_only(self) -> None:
        async def body(network: FakeNetwork, server: PeerServer, client: PeerClient) -> Any:
            with unittest.mock.patch.object(
                _client, "client_handshake", side_effect=RecursionError
            ):
                failed = await client.request(ADDRESS, Echo("hello"), timeout_s=1)
            self.assertIsInstance(failed, Err)
            return await client.request(ADDRESS, Echo("hello"), timeout_s=1)

        answer = run_virtual(lambda: _run_with_pair(body), seed=1)
        self.assertEqual(answer, Ok(Echo("hello")))


class RequestTest(unittest.TestCase):
    def test_a_request_gets_its_answer(self) -> None:
        async def body(network: FakeNetwork, server: PeerServer, client: PeerClient) -> Any:
            return await client.request(ADDRESS, Echo("hello"), timeout_s=1)

        answer = run_virtual(lambda: _run_with_pair(body), seed=1)
        self.assertEqual(answer, Ok(Echo("hello")))

    def test_arrived_messages_can_be_received_without_waiting(self) -> None:
        """A merge dropped this method; every slot request to another node's dispatcher failed."""

        async def body(network: FakeNetwork, server: PeerServer, client: PeerClient) -> Any:
            received: list[list[Any]] = []

            async def delayed(request: Slow, reply: Reply) -> None:
                await anyio.sleep(0.5)
                received.extend((reply.receive_pending(), reply.receive_pending()))
                await reply.send(request)

            server.handle(Slow, delayed)
            async with client.stream(ADDRESS, Slow()) as opened:
                for number in range(2):
                    await opened.ok_value.send(Echo("report", number))
                await opened.ok_value.receive()
            return received

        received = run_virtual(lambda: _run_with_pair(body), seed=1)
        self.assertEqual(received, [[Echo("report", 0), Echo("report", 1)], []])

    # Guards against an error in the task of the sender, which ended the process.
    def test_a_message_that_no_frame_can_carry_is_a_failure(self) -> None:
        unsendable = [Echo("x", 2**64), Echo("\ud800"), Echo("x" * 5_000_000)]

        async def body(network: FakeNetwork, server: PeerServer, client: PeerClient) -> Any:
            failures = []
            for item in unsendable:
                failures.append(await client.request(ADDRESS, item, timeout_s=1, idempotent=True))
                async with client.stream(ADDRESS, item) as opened:
                    failures.append(opened)
            return failures, await client.request(ADDRESS, Echo("hello"), timeout_s=1)

        failures, answer = run_virtual(lambda: _run_with_pair(body), seed=1)
        self.assertEqual({failure.err_value.kind for failure in failures}, {ErrorKind.TOO_LARGE})
        self.assertEqual(answer, Ok(Echo("hello")))

    # Guards against reports that are never sent, and against one that fails its turn.
    def test_a_posted_message_arrives_without_a_call(self) -> None:
        received: list[Echo] = []

        async def record(request: Echo, reply: Reply) -> None:
            received.append(request)
            await reply.send(request)

        async def body(network: FakeNetwork, server: PeerServer, client: PeerClient) -> Any:
            await client.request(ADDRESS, Echo("first"), timeout_s=1)
            server._handlers[Echo] = record
            sent = client.post(ADDRESS, Echo("report")), client.post(ADDRESS, Echo("\ud800"))
            return sent, await client.request(ADDRESS, Echo("again"), timeout_s=1)

        sent, again = run_virtual(lambda: _run_with_pair(body), seed=1)
        self.assertEqual(sent, (True, False))
        self.assertEqual(again, Ok(Echo("again")))
        self.assertEqual(received, [Echo("report"), Echo("again")])

    def test_a_wrong_cluster_key_gets_no_answer(self) -> None:
        async def body(network: FakeNetwork, server: PeerServer, client: PeerClient) -> Any:
            answer = await client.request(ADDRESS, Echo("hello"), timeout_s=1)
            await anyio.sleep(0.1)  # the client's rejection is still in flight to the server
            return answer, server.bad_frames

        answer, bad_frames = run_virtual(
            lambda: _run_with_pair(body, server_key="other" * 4), seed=1
        )
        self.assertIsInstance(answer, Err)
        self.assertEqual(bad_frames, 1)

    def test_a_silent_connection_is_replaced(self) -> None:
        async def body(network: FakeNetwork, server: PeerServer, client: PeerClient) -> Any:
            await client.request(ADDRESS, Echo("first"), timeout_s=1)
            network.silence("10.0.0.1", "10.0.0.2")
            lost = await client.request(ADDRESS, Echo("lost"), timeout_s=10)
            return lost, await client.request(ADDRESS, Echo("again"), timeout_s=1)

        lost, again = run_virtual(lambda: _run_with_pair(body), seed=1)
        self.assertEqual(lost.err_value.kind, ErrorKind.OWNER_UNAVAILABLE)
        self.assertEqual(again, Ok(Echo("again")))


class SilenceTest(unittest.TestCase):
    def test_an_idempotent_request_is_hedged_over_a_new_connection(self) -> None:
        async def body(network: FakeNetwork, server: PeerServer, client: PeerClient) -> Any:
            await client.request(ADDRESS, Echo("first"), timeout_s=1)
            await anyio.sleep(1)
            network.silence("10.0.0.1", "10.0.0.2")
            started = anyio.current_time()
            answer = await client.request(ADDRESS, Echo("x"), timeout_s=10, idempotent=True)
            return answer, anyio.current_time() - started

        answer, took_s = run_virtual(lambda: _run_with_pair(body), seed=1)
        self.assertEqual(answer, Ok(Echo("x")))
        self.assertLess(took_s, 0.25)

    def test_a_slow_handler_on_a_live_connection_gets_the_request_once(self) -> None:
        async def body(network: FakeNetwork, server: PeerServer, client: PeerClient) -> Any:
            requests = []

            async def slow(request: Slow, reply: Reply) -> None:
                requests.append(request)
                await anyio.sleep(5)
                await reply.send(request)

            server.handle(Slow, slow)
            await client.request(ADDRESS, Echo("first"), timeout_s=1)
            await anyio.sleep(1)
            answer = await client.request(ADDRESS, Slow(), timeout_s=10, idempotent=True)
            return answer, len(requests)

        self.assertEqual(run_virtual(lambda: _run_with_pair(body), seed=1), (Ok(Slow()), 1))

    def test_a_call_on_a_silent_connection_ends_within_three_seconds(self) -> None:
        async def body(network: FakeNetwork, server: PeerServer, client: PeerClient) -> float:
            server.handle(Slow, _never)
            async with client.stream(ADDRESS, Slow()) as opened:
                await anyio.sleep(30)
                network.silence("10.0.0.1", "10.0.0.2")
                started = anyio.current_time()
                with self.assertRaises(anyio.EndOfStream):
                    await opened.ok_value.receive()
                return anyio.current_time() - started

        self.assertLess(run_virtual(lambda: _run_with_pair(body), seed=1), 3.1)

    def test_an_idle_connection_is_closed_and_sends_nothing_more(self) -> None:
        async def body(network: FakeNetwork, server: PeerServer, client: PeerClient) -> Any:
            await client.request(ADDRESS, Echo("first"), timeout_s=1)
            await anyio.sleep(20)
            sent = dict(network.bytes_by_host)
            await anyio.sleep(60)
            return server.connections, sent == network.bytes_by_host

        self.assertEqual(run_virtual(lambda: _run_with_pair(body), seed=1), (0, True))

    # Guards against reports that are lost for as long as a dead connection takes to break.
    def test_a_silent_connection_that_carries_only_posts_is_replaced(self) -> None:
        async def body(network: FakeNetwork, server: PeerServer, client: PeerClient) -> Any:
            sent = [client.post(ADDRESS, Echo("unconnected"))]
            await client.request(ADDRESS, Echo("first"), timeout_s=1)
            network.silence("10.0.0.1", "10.0.0.2")
            for _ in range(10):
                sent.append(client.post(ADDRESS, Echo("report")))
                await anyio.sleep(1)
            return sent

        sent = run_virtual(lambda: _run_with_pair(body), seed=1)
        self.assertEqual((sent[:2], sent[-1]), ([False, True], False))


class WindowTest(unittest.TestCase):
    def test_a_slow_reader_blocks_only_its_own_call(self) -> None:
        async def body(network: FakeNetwork, server: PeerServer, client: PeerClient) -> Any:
            sent = []

            async def flood(request: Slow, reply: Reply) -> None:
                for number in range(200):
                    await reply.send(Echo("x" * 50_000))
                    sent.append(number)

            server.handle(Slow, flood)
            async with client.stream(ADDRESS, Slow()) as opened:
                await anyio.sleep(5)
                sent_while_blocked = len(sent)
                other = await client.request(ADDRESS, Echo("other"), timeout_s=1)
                received = [item async for item in opened.ok_value]
            return sent_while_blocked, other, len(received)

        sent_while_blocked, other, received = run_virtual(lambda: _run_with_pair(body), seed=1)
        self.assertLess(sent_while_blocked, 8)
        self.assertEqual(other, Ok(Echo("other")))
        self.assertEqual(received, 200)

    def test_a_sender_that_exceeds_the_window_is_disconnected(self) -> None:
        async def body(network: FakeNetwork, server: PeerServer, client: PeerClient) -> int:
            server.handle(Slow, _never)
            async with client.stream(ADDRESS, Slow()) as opened:
                call = opened.ok_value
                for _ in range(120):
                    call._in_flight_bytes = 0
                    await call.send(Echo("x" * 50_000))
                await anyio.sleep(1)
            return server.bad_frames

        self.assertEqual(run_virtual(lambda: _run_with_pair(body), seed=1), 1)


class BadFrameTest(unittest.TestCase):
    def test_an_invalid_frame_closes_only_its_own_connection(self) -> None:
        bad_frames = {
            "oversized": b"\xff\xff\xff\xff",
            "not msgpack": b"\x00\x00\x00\x01\xc1",
            "unknown kind": _encode_frame([1, 99, None]),
            "call number no integer": _encode_frame(["a", 0, None]),
            "unknown message": _encode_frame([1, 0, [8999]]),
            "wrong field type": _encode_frame([1, 0, [9001, 5]]),
            "handshake again": _encode_frame([0, 6, [1]]),
        }

        async def body(network: FakeNetwork, server: PeerServer, client: PeerClient) -> Any:
            async with client.stream(ADDRESS, Echo("a", 1)):
                before = server.bad_frames
                for name, data in bad_frames.items():
                    stream = await network.view("10.0.0.1").connect(ADDRESS)
                    frames = FrameStream(stream)
                    async with anyio.create_task_group() as task_group:
                        task_group.start_soon(frames.run_writer)
                        await client_handshake(frames, node="evil", key=KEY)
                        await frames.wait_sent()
                        task_group.cancel_scope.cancel()
                    await stream.send(data)
                    with self.assertRaises(anyio.EndOfStream, msg=name), anyio.fail_after(5):
                        while True:
                            await stream.receive()
                return server.bad_frames - before, await client.request(
                    ADDRESS, Echo("b"), timeout_s=1
                )

        counted, other = run_virtual(lambda: _run_with_pair(body), seed=1)
        self.assertEqual(counted, len(bad_frames))
        self.assertEqual(other, Ok(Echo("b")))

    def test_the_key_is_never_sent_and_a_replay_is_refused(self) -> None:
        async def body(network: FakeNetwork, server: PeerServer, client: PeerClient) -> Any:
            wire = _Recorder(await network.view("10.0.0.1").connect(ADDRESS))
            frames = FrameStream(wire)
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(frames.run_writer)
                await client_handshake(frames, node="a", key=KEY)
                await frames.wait_sent()
                task_group.cancel_scope.cancel()
            again = await network.view("10.0.0.1").connect(ADDRESS)
            for data in wire.sent:
                await again.send(data)
            with self.assertRaises(anyio.EndOfStream), anyio.fail_after(5):
                while True:
                    await again.receive()
            return b"".join(wire.sent), server.bad_frames

        sent, bad_frames = run_virtual(lambda: _run_with_pair(body), seed=1)
        self.assertNotIn(KEY.encode(), sent)
        self.assertEqual(bad_frames, 1)

    def test_an_old_protocol_version_is_refused(self) -> None:
        async def body(network: FakeNetwork, server: PeerServer, client: PeerClient) -> int:
            stream = await network.view("10.0.0.1").connect(ADDRESS)
            await stream.send(_encode_frame([0, 6, [1, 1, "old", b"n" * 16]]))
            with self.assertRaises(anyio.EndOfStream), anyio.fail_after(5):
                while True:
                    await stream.receive()
            return server.bad_frames

        self.assertEqual(run_virtual(lambda: _run_with_pair(body), seed=1), 1)


class AnswerTest(unittest.TestCase):
    # Guards against calls without a task that differ from others: an error in one would end its
    # connection with all calls on it, and a stopping node would still answer.
    def test_a_message_answered_at_once_fails_and_is_refused_like_others(self) -> None:
        def answer(request: Slow) -> Echo:
            if failing:
                raise RuntimeError("broken")
            return Echo("\ud800" if unsendable else "at once")

        failing = unsendable = False

        async def body(network: FakeNetwork, server: PeerServer, client: PeerClient) -> Any:
            nonlocal failing, unsendable
            server.answer(Slow, answer)
            with self.assertRaises(ValueError):
                server.answer(Slow, answer)
            answers = [await client.request(ADDRESS, Slow(), timeout_s=1)]
            failing = True
            answers.append(await client.request(ADDRESS, Slow(), timeout_s=1))
            failing, unsendable = False, True
            answers.append(await client.request(ADDRESS, Slow(), timeout_s=1))
            unsendable = False
            answers.append(await client.request(ADDRESS, Slow(), timeout_s=1))
            self.assertTrue(await server.drain(timeout_s=1))
            answers.append(await client.request(ADDRESS, Slow(), timeout_s=1))
            return answers, server.connections

        answers, connections = run_virtual(lambda: _run_with_pair(body), seed=1)
        self.assertEqual([answers[0], answers[3]], [Ok(Echo("at once"))] * 2)
        kinds = [answer.err_value.kind for answer in (answers[1], answers[2], answers[4])]
        self.assertEqual(kinds, [ErrorKind.INTERNAL, ErrorKind.INTERNAL, ErrorKind.STOPPING])
        self.assertEqual(connections, 1)


class StopTest(unittest.TestCase):
    def test_drain_finishes_running_calls_and_refuses_new_ones(self) -> None:
        async def body(network: FakeNetwork, server: PeerServer, client: PeerClient) -> Any:
            async def slow(request: Slow, reply: Reply) -> None:
                await anyio.sleep(2)
                await reply.send(request)

            answers: list[Any] = []

            async def ask(item: Any) -> None:
                answers.append(await client.request(ADDRESS, item, timeout_s=5))

            server.handle(Slow, slow)
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(ask, Slow())
                await anyio.sleep(0.5)
                task_group.start_soon(ask, Echo("late"))
                task_group.start_soon(_call_later, 0.1, ask, Echo("later"))
                drained = await server.drain(timeout_s=10)
            return drained, answers

        drained, answers = run_virtual(lambda: _run_with_pair(body), seed=1)
        self.assertTrue(drained)
        self.assertIs(answers[0].err_value.kind, ErrorKind.STOPPING)
        self.assertEqual(answers[-1], Ok(Slow()))

    def test_a_cancelled_call_cancels_its_handler(self) -> None:
        async def body(network: FakeNetwork, server: PeerServer, client: PeerClient) -> bool:
            ended = anyio.Event()

            async def slow(request: Slow, reply: Reply) -> None:
                try:
                    await anyio.sleep_forever()
                finally:
                    ended.set()

            server.handle(Slow, slow)
            async with client.stream(ADDRESS, Slow()):
                await anyio.sleep(0.5)
            with anyio.fail_after(1):
                await ended.wait()
            return True

        self.assertTrue(run_virtual(lambda: _run_with_pair(body), seed=1))


class CoalesceTest(unittest.TestCase):
    def test_messages_that_are_not_urgent_are_coalesced(self) -> None:
        async def body(network: FakeNetwork) -> tuple[int, int]:
            first, second = network.view("10.0.0.1"), network.view("10.0.0.2")
            writes = []
            for coalesce_s in (0.0, 0.005):
                server = PeerServer(node="b", cluster_key=KEY, coalesce_s=coalesce_s)
                server.handle(Slow, _trickle)
                async with anyio.create_task_group() as task_group:
                    await task_group.start(second.serve, ADDRESS, server.serve_stream)
                    async with PeerClient(first, node="a", cluster_key=KEY) as client:
                        before = network.sends_by_host.get("10.0.0.2", 0)
                        async with client.stream(ADDRESS, Slow()) as opened:
                            self.assertEqual(len([i async for i in opened.ok_value]), 50)
                        writes.append(network.sends_by_host["10.0.0.2"] - before)
                    task_group.cancel_scope.cancel()
            return writes[0], writes[1]

        network = FakeNetwork({"10.0.0.1": ("r1", "d1"), "10.0.0.2": ("r1", "d1")})
        separate_writes, coalesced_writes = run_virtual(lambda: body(network), seed=1)
        self.assertLess(coalesced_writes, separate_writes / 3)


class _Recorder(ByteStream):
    """A stream that records what is sent on it."""

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream
        self.sent: list[bytes] = []

    async def send(self, item: bytes) -> None:
        self.sent.append(bytes(item))
        await self._stream.send(item)

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        return await self._stream.receive(max_bytes)

    async def send_eof(self) -> None:
        await self._stream.send_eof()

    async def aclose(self) -> None:
        await self._stream.aclose()


async def _never(request: Any, reply: Reply) -> None:
    await anyio.sleep_forever()


async def _trickle(request: Any, reply: Reply) -> None:
    for number in range(50):
        await reply.send(Echo(str(number)), urgent=False)
        await anyio.sleep(0.001)


async def _call_later(delay_s: float, function: Any, item: Any) -> None:
    await anyio.sleep(delay_s)
    await function(item)


def _encode_frame(plain: Any) -> bytes:
    body = msgpack.packb(plain)
    return len(body).to_bytes(4, "big") + body


if __name__ == "__main__":
    unittest.main()
