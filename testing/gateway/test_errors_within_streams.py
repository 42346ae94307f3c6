"""A stream that has begun and breaks off, and a replica that should resume it but fails."""

from __future__ import annotations

import unittest

from anyio.abc import ByteStream

from bramleylead.platform._types import CallKind
from testing.gateway._site import ReceivedRequest
from testing.gateway._site import Script
from testing.gateway._site import Site
from testing.gateway._site import chunk
from testing.gateway._site import event
from testing.gateway._site import full_response
from testing.gateway._site import response_head
from testing.gateway._site import route
from testing.gateway.test_plain_calls import refused_response
from testing.gateway.test_plain_calls import run_with_site
from testing.gateway.test_streams import break_stream_after
from testing.gateway.test_streams import events
from testing.gateway.test_streams import resume_stream

TEXT = b"the model failed\n\nid: 9\ndata: error\n\n"
STREAM_TYPE = "Content-Type: text/event-stream"
CHUNKED = "Transfer-Encoding: chunked"
JSON_TYPE = "Content-Type: application/json"
RESUMABLE = route(CallKind.STREAM, resumable=True, max_attempts=3)


def send(make_response, *, close: bool = False) -> Script:
    """Return a script that sends the returned bytes, and then may close the connection."""

    async def script(received: ReceivedRequest, stream: ByteStream) -> None:
        await stream.send(make_response(received))
        if close:
            await stream.aclose()

    return script


ERRORS: dict[str, Script] = {
    "500 with a length": send(lambda received: full_response(received, TEXT, "500 Failed")),
    "500 in chunks": send(
        lambda received: response_head(received, "500 Failed", CHUNKED) + chunk(TEXT) + chunk(b"")
    ),
    "500 without an end": send(
        lambda received: response_head(received, "500 Failed", CHUNKED) + chunk(TEXT), close=True
    ),
    "500 that ends with its connection": send(
        lambda received: response_head(received, "500 Failed") + TEXT, close=True
    ),
    "500 as events": send(
        lambda received: full_response(received, TEXT, "500 Failed", STREAM_TYPE)
    ),
    "400": send(lambda received: full_response(received, TEXT, "400 Bad")),
    "refused": send(refused_response),
    "200 unsigned": send(
        lambda received: b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(TEXT) + TEXT
    ),
    "200 of another type": send(
        lambda received: full_response(received, TEXT, "200 OK", JSON_TYPE)
    ),
    "200 without a type": send(lambda received: full_response(received, TEXT)),
    "200 from the first event": send(
        lambda received: full_response(received, events(1, 2, 3, 4), "200 OK", STREAM_TYPE)
    ),
    "a head twice": send(
        lambda received: 2 * response_head(received, "200 OK", STREAM_TYPE, CHUNKED), close=True
    ),
    "a head within an event": send(
        lambda received: (
            response_head(received, "200 OK", STREAM_TYPE, CHUNKED)
            + chunk(event(3)[:4] + response_head(received, "500 Failed"))
        ),
        close=True,
    ),
    "an end within an event": send(
        lambda received: (
            response_head(received, "200 OK", STREAM_TYPE, CHUNKED)
            + chunk(event(3)[:7])
            + b"0\r\n\r\n"
        )
    ),
    "an end with the connection within an event": send(
        lambda received: response_head(received, "200 OK", STREAM_TYPE) + event(3)[:7], close=True
    ),
    "a response where the rest is due": send(
        lambda received: (
            response_head(received, "200 OK", STREAM_TYPE)
            + full_response(received, TEXT, "500 Failed", request="q0")
        ),
        close=True,
    ),
    "the event before once more": send(
        lambda received: full_response(received, events(2), "200 OK", STREAM_TYPE)
    ),
    "an id longer than a number": send(
        lambda received: full_response(
            received, b"id: " + b"9" * 5000 + b"\ndata: x\n\n", "200 OK", STREAM_TYPE
        )
    ),
    "nothing": send(lambda received: b"\r\n", close=True),
}


class ErrorWithinStreamTest(unittest.TestCase):
    def run_stream(self, script: Script, *, sound: bool) -> tuple[bytes, bool]:
        """Return the body of a stream that broke off after two events, and if it was complete.

        :param sound: whether a third replica can resume it.
        """
        answers: list[tuple[bytes, bool]] = []

        async def main(site: Site) -> None:
            async def begin(received: ReceivedRequest, stream: ByteStream) -> None:
                await site.add_replica("failing", fail)
                await break_stream_after(1, 2)(received, stream)

            async def fail(received: ReceivedRequest, stream: ByteStream) -> None:
                if sound:
                    await site.add_replica("sound", resume_stream(1, 2, 3, 4))
                await script(received, stream)

            await site.add_replica("first", begin)
            answer = await site.request("/stream/x", body=b"q")
            self.assertTrue(site.replicas["failing"].received)
            answers.append((answer.body, answer.complete))

        run_with_site(main, RESUMABLE)
        return answers[0]

    # Guards against ORDER and MIXED: an error's text or head within a stream, or a stream that
    # looks complete after it.
    def test_an_error_of_the_next_replica_breaks_the_stream_off(self) -> None:
        for name, script in ERRORS.items():
            with self.subTest(name):
                self.assertEqual(self.run_stream(script, sound=False), (events(1, 2), False))

    def test_the_replica_after_the_next_one_resumes_the_stream(self) -> None:
        for name, script in ERRORS.items():
            with self.subTest(name):
                expected = (events(1, 2, 3, 4), True)
                self.assertEqual(self.run_stream(script, sound=True), expected)

    def test_a_stream_that_a_caller_resumes_never_holds_an_error(self) -> None:
        for name, script in ERRORS.items():
            with self.subTest(name):
                self.check_resumed_by_caller(script)

    def check_resumed_by_caller(self, script: Script) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("first", break_stream_after(1, 2))
            await site.request("/stream/x", body=b"q", headers={"bramleylead-request-id": "q1"})
            site.directory.remove_replica("first")
            await site.add_replica("failing", script)
            headers = {
                "bramleylead-request-id": "q2",
                "last-event-id": "2",
                "resumes": "q1",
            }
            answer = await site.request("/stream/x", body=b"q", headers=headers)
            self.assertNotEqual(answer.status, 200)

        run_with_site(main, RESUMABLE)
