"""What a gateway holds for callers that don't read their responses, over real sockets."""

from __future__ import annotations

import tracemalloc
import unittest
from contextlib import AsyncExitStack

import anyio
from anyio.abc import ByteStream
from anyio.abc import SocketStream

from bramleylead.connection import TcpNetwork
from bramleylead.connection._tcp import split_address
from bramleylead.http._server import HttpServer
from bramleylead.platform._types import CallKind
from bramleylead.platform._types import Replica
from testing.gateway._site import FakeReplica
from testing.gateway._site import ReceivedRequest
from testing.gateway._site import Script
from testing.gateway._site import Site
from testing.gateway._site import chunk
from testing.gateway._site import configuration
from testing.gateway._site import event_stream
from testing.gateway._site import response_head
from testing.gateway._site import route

CALLERS = 50
RESPONSE_BYTES = 10_000_000
WHOLE_BYTES = 2_000_000
PART_BYTES = 20_000
MAX_HELD_BYTES = 16_000_000
"""Bound of the design page for all responses together."""
SETTLED_S = 1.0
"""Nothing more is held once what the gateway holds has not grown for so long."""
LIMIT_S = 60.0


class RealNetwork:
    """Real sockets in the place of the fake network."""

    def view(self, host: str) -> TcpNetwork:
        return TcpNetwork()

    def place(self, host: str, region: str, data_centre: str) -> None:
        pass


async def stream_large(received: ReceivedRequest, stream: ByteStream) -> None:
    """Send a stream of events of 10 MB."""
    await stream.send(event_stream(received, end=False))
    text = b"x" * PART_BYTES
    for number in range(RESPONSE_BYTES // PART_BYTES):
        await stream.send(chunk(b"id: %d\ndata: %s\n\n" % (number + 1, text)))
    await stream.send(b"0\r\n\r\n")


def respond(count: int) -> Script:
    """Return a script that sends a plain response of so many bytes."""

    async def script(received: ReceivedRequest, stream: ByteStream) -> None:
        await stream.send(response_head(received, "200 OK", f"Content-Length: {count}"))
        part = b"x" * PART_BYTES
        for _ in range(count // PART_BYTES):
            await stream.send(part)

    return script


async def open_silent(address: str, path: str, number: int) -> SocketStream:
    """Send a request whose response the caller never reads."""
    stream = await anyio.connect_tcp(*split_address(address))
    head = (
        f"POST {path} HTTP/1.1\r\nHost: site.example\r\nContent-Length: 1\r\n"
        f"Bramleylead-Request-Id: silent-{number}\r\n\r\nx"
    )
    await stream.send(head.encode())
    return stream


async def most_held_bytes(started: int) -> int:
    """Return the most memory held beyond what was held at the start, once it grows no more."""
    most, grown_at = 0, anyio.current_time()
    while anyio.current_time() < grown_at + SETTLED_S:
        await anyio.sleep(0.05)
        held = tracemalloc.get_traced_memory()[1] - started
        if held > most + PART_BYTES:
            most, grown_at = held, anyio.current_time()
    return most


class SlowReadersTest(unittest.TestCase):
    def held_for(self, kind: CallKind, script: Script) -> int:
        """Return the bytes that a gateway holds for 50 callers that read nothing."""
        held = []

        async def main() -> None:
            with anyio.fail_after(LIMIT_S):
                async with AsyncExitStack() as callers, anyio.create_task_group() as tasks:
                    site = Site(tasks, network=RealNetwork())  # type: ignore[arg-type]
                    large = route(kind, timeout_s=LIMIT_S, max_attempts=1)
                    site.directory.apply_configuration(configuration(large), source="test")
                    arrived = [anyio.Event() for _ in range(CALLERS)]

                    async def answer(received: ReceivedRequest, stream: ByteStream) -> None:
                        arrived[len(replica.received) - 1].set()
                        await script(received, stream)

                    replica = FakeReplica("a", answer)
                    replica_address = await tasks.start(
                        TcpNetwork().serve, "127.0.0.1:0", replica.serve
                    )
                    entry = Replica("a", "svc", replica_address, "d", False, 4, "v1")
                    site.directory.put_replica(entry)
                    address = await tasks.start(HttpServer(site.app).serve, "127.0.0.1:0")
                    tracemalloc.start()
                    started = tracemalloc.get_traced_memory()[0]
                    for number in range(CALLERS):
                        caller = await open_silent(address, f"/{kind.value}/x", number)
                        callers.push_async_callback(anyio.aclose_forcefully, caller)
                        await arrived[number].wait()
                    held.append(await most_held_bytes(started))
                    tasks.cancel_scope.cancel()

        try:
            anyio.run(main)
        finally:
            tracemalloc.stop()
        return held[0]

    # Guards against a gateway whose memory is filled by callers that don't read.
    def test_streams_to_callers_that_don_t_read_are_held_within_the_bound(self) -> None:
        self.assertLess(self.held_for(CallKind.STREAM, stream_large), MAX_HELD_BYTES)

    def test_plain_responses_to_callers_that_don_t_read_are_held_within_the_bound(self) -> None:
        # The first is longer than a gateway takes; those of the second are held whole.
        for count in (RESPONSE_BYTES, WHOLE_BYTES):
            with self.subTest(count=count):
                held = self.held_for(CallKind.SAFE, respond(count))
                self.assertLess(held, MAX_HELD_BYTES)
