"""A replica that sends bytes without end costs bounded memory and time on every path."""

from __future__ import annotations

import unittest

import anyio
from anyio.abc import ByteStream

from bramleylead.platform._types import CallKind
from testing.gateway._site import ReceivedRequest
from testing.gateway._site import ReceivedResponse
from testing.gateway._site import Site
from testing.gateway._site import event_stream
from testing.gateway._site import respond_with
from testing.gateway._site import response_head
from testing.gateway._site import route
from testing.gateway.test_plain_calls import ok_response
from testing.gateway.test_plain_calls import run_with_site

BLOCK_BYTES = 65_536
BLOCK_INTERVAL_S = 0.001
MAX_ACCEPTED_BYTES = 10_000_000
"""A gateway has 128 MB, and several replicas may fail at the same time."""
MAX_TIME_S = 1.0
"""Another replica must still be able to answer within the caller's deadline of 3 s."""
STREAM = route(CallKind.STREAM, resumable=True)
CHUNKED = "Transfer-Encoding: chunked"


class EndlessReplica:
    """Sends a beginning, and then the same block until the gateway closes the connection."""

    def __init__(self, begin: str, block: bytes, *extra_headers: str) -> None:
        self.begin = begin
        self.block = block
        self.extra_headers = extra_headers
        self.sent_bytes = 0

    async def answer(self, received: ReceivedRequest, stream: ByteStream) -> None:
        if self.begin:
            request = "another" if self.begin == "stale" else ""
            status = "503 Busy" if self.begin == "refusal" else "200 OK"
            await stream.send(response_head(received, status, *self.extra_headers, request=request))
        while True:
            await stream.send(self.block)
            self.sent_bytes += len(self.block)
            await anyio.sleep(BLOCK_INTERVAL_S)


def chunk_of(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


BYTES = b"x" * BLOCK_BYTES
CHUNK = chunk_of(BYTES)
EVENT = b"data: " + b"word" * 60 + b"\n\n"
EVENTS = chunk_of(EVENT * (BLOCK_BYTES // len(EVENT)))
INFORMATION = b"HTTP/1.1 103 Early Hints\r\n\r\n" * (BLOCK_BYTES // 28)
NOT_RUN = "Bramleylead-Not-Run: 1"

CASES = {
    "no head": EndlessReplica("", BYTES),
    "a head line": EndlessReplica("", b"HTTP/1.1 200 OK\r\nA: " + BYTES),
    "informational responses": EndlessReplica("", INFORMATION),
    "a body without length": EndlessReplica("answer", BYTES),
    "a body in chunks": EndlessReplica("answer", CHUNK, CHUNKED),
    "a chunk size": EndlessReplica("answer", b"0" * BLOCK_BYTES, CHUNKED),
    "the body of a refusal": EndlessReplica("refusal", CHUNK, CHUNKED, NOT_RUN),
    "a response to another request": EndlessReplica("stale", CHUNK, CHUNKED),
}
STREAM_CASES = {
    **CASES,
    "events": EndlessReplica("answer", EVENTS, CHUNKED),
}


class EndlessResponseTest(unittest.TestCase):
    def request(
        self, endless: EndlessReplica, path: str, other: bytes | None
    ) -> tuple[ReceivedResponse, float]:
        """Send a request that meets the endless replica first; return the time it took."""
        results: list[tuple[ReceivedResponse, float]] = []

        async def main(site: Site) -> None:
            await site.add_replica("a", endless.answer)
            await site.add_replica(
                "b",
                respond_with(ok_response if other is None else lambda q: event_stream(q, 1)),
            )
            started_at = anyio.current_time()
            response = await site.request(path, body=b"" if other is None else b"input")
            results.append((response, anyio.current_time() - started_at))

        run_with_site(main, *([] if other is None else [STREAM]))
        return results[0]

    def test_a_plain_request_is_answered_by_another_replica(self) -> None:
        for name, endless in CASES.items():
            with self.subTest(name):
                endless.sent_bytes = 0
                response, took_s = self.request(endless, "/safe/x", None)
                self.assertEqual(response.status, 200)
                self.assertLess(endless.sent_bytes, MAX_ACCEPTED_BYTES)
                self.assertLess(took_s, MAX_TIME_S)

    def test_a_stream_is_ended_or_goes_on_at_another_replica(self) -> None:
        for name, endless in STREAM_CASES.items():
            with self.subTest(name):
                endless.sent_bytes = 0
                response, took_s = self.request(endless, "/stream/x", b"stream")
                self.assertLess(endless.sent_bytes, MAX_ACCEPTED_BYTES)
                self.assertLess(took_s, MAX_TIME_S)
                if name != "events":
                    self.assertEqual((response.status, response.complete), (200, True))
