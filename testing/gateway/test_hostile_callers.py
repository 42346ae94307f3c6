"""Slow and hostile callers of a real gateway, beside sound ones that are served all the while."""

from __future__ import annotations

import random
import tempfile
import unittest
from contextlib import AsyncExitStack
from pathlib import Path

import anyio

from bramleylead.connection._tcp import split_address
from bramleylead.trials.fuzz._flow import SoundFlow
from bramleylead.trials.fuzz._sending import parse_answers
from bramleylead.trials.fuzz._sending import send_bytes
from bramleylead.trials.fuzz._site import FuzzSite

BYTE_GAP_S = 0.005
LIMIT_S = 90.0
SHOWN_BYTES = 400


def head(number: int, *lines: bytes, path: bytes = b"/odd-safe/x") -> bytes:
    """Return a request's head without its last line end."""
    first = (
        b"POST %s HTTP/1.1\r\nHost: soak.example\r\nBramleylead-Request-Id: odd-%d\r\n"
        b"Bramleylead-Deadline-Ms: 1500\r\n" % (path, number)
    )
    return first + b"".join(line + b"\r\n" for line in lines)


HIDDEN = head(0, b"Content-Length: 0").replace(b"odd-0", b"smuggled") + b"\r\n"
COVERED = b"0\r\n\r\n" + HIDDEN
LENGTH = b"Content-Length: %d" % len(COVERED)
CHUNKED = b"Transfer-Encoding: chunked"
SMUGGLED = (
    (LENGTH, CHUNKED),
    (CHUNKED, LENGTH),
    (LENGTH, b"Transfer-Encoding: identity"),
    (LENGTH, b"Transfer-Encoding: xchunked"),
    (LENGTH, b"Transfer-Encoding : chunked"),
    (LENGTH, b"Transfer-Encoding:\r\n chunked"),
    (LENGTH, b"Transfer-Encoding: chunked, identity"),
    (LENGTH, b"X: a\nTransfer-Encoding: chunked"),
    (LENGTH, b"X: a\rTransfer-Encoding: chunked"),
    (LENGTH, b"X: a\r\n Transfer-Encoding: chunked"),
    (LENGTH, b"Content-Length: 5"),
    (b"Content-Length: 5, %d" % len(COVERED),),
    (b"Content-Length: +%d" % len(COVERED),),
    (b"Content-Length: -5",),
    (b"Content-Length : %d" % len(COVERED),),
    (b"Content-Length: %d\x00" % len(COVERED),),
    (b"Content-Length: 0x5",),
    (b"Content-Length: " + b"9" * 40,),
)
ODD_CHUNKS = (
    b"5;ext=" + b"a" * 40_000 + b"\r\nhello\r\n0\r\n\r\n",
    b"FFFFFFFFFFFFFFFFFFFFFFF\r\n" + COVERED,
    b"7fffffffffffffff\r\n" + COVERED,
    b"-1\r\n" + COVERED,
    b"5\r\nhelloXX" + COVERED,
    b"5 \r\nhel",
)


class HostileCallersTest(unittest.TestCase):
    def setUp(self) -> None:
        self.wrong: list[str] = []

    # Guards against a replica that runs what no caller sent, and against callers kept waiting.
    def test_hostile_callers_get_one_answer_and_sound_ones_are_served(self) -> None:
        async def main() -> None:
            async with AsyncExitStack() as stack:
                folder = stack.enter_context(tempfile.TemporaryDirectory())
                site = FuzzSite(Path(folder), random.Random(1))
                await site.open(stack)
                flow = SoundFlow(site.gateway, site.judge)
                with anyio.fail_after(LIMIT_S):
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(flow.run)
                        await self._attack(site)
                        tasks.cancel_scope.cancel()
                self.assertEqual(self.wrong, [])
                self.assertEqual(flow.unserved, [])
                self.assertGreater(flow.served, 0)
                self.assertEqual(site.judge.findings, [])
                ran = [run for replica in site.odd for run in replica.runs]
                self.assertEqual([run for run in ran if run.request == "smuggled"], [])
                self.assertEqual([run for run in ran if run.target != "/odd-safe/x"], [])

        anyio.run(main)

    async def _attack(self, site: FuzzSite) -> None:
        address = site.gateway.http
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_by_the_byte, address)
            tasks.start_soon(self._send_without_end, address)
            tasks.start_soon(self._pipeline, address)
            for number, lines in enumerate(SMUGGLED, 10):
                data = head(number, *lines) + b"\r\n" + COVERED
                tasks.start_soon(self._expect_one_answer, address, data)
            for number, chunks in enumerate(ODD_CHUNKS, 50):
                data = head(number, CHUNKED) + b"\r\n" + chunks
                tasks.start_soon(self._expect_one_answer, address, data)

    def _expect(self, is_right: bool, sent: bytes, received: bytes) -> None:
        if not is_right:
            self.wrong.append(f"{sent[:SHOWN_BYTES]!r}: {received[:SHOWN_BYTES]!r}")

    async def _expect_one_answer(self, address: str, data: bytes) -> None:
        received = await send_bytes(address, (data,))
        self._expect(len(parse_answers(received, is_head=False)) <= 1, data, received)

    async def _send_by_the_byte(self, address: str) -> None:
        data = head(1, b"Content-Length: 5") + b"\r\nhello"
        async with await anyio.connect_tcp(*split_address(address)) as stream:
            for place in range(len(data)):
                await stream.send(data[place : place + 1])
                await anyio.sleep(BYTE_GAP_S)
            received = await stream.receive()
        self._expect(parse_answers(received, is_head=False) == [200], data, received)

    async def _send_without_end(self, address: str) -> None:
        received = b""
        async with await anyio.connect_tcp(*split_address(address)) as stream:
            await stream.send(head(2, CHUNKED) + b"\r\n")
            try:
                while not received:
                    await stream.send(b"5\r\nhello\r\n")
                    with anyio.move_on_after(0.05):
                        received = await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return  # A closed connection is clear, too.
        self._expect(parse_answers(received, is_head=False) == [504], b"no end", received)

    async def _pipeline(self, address: str) -> None:
        requests = (head(number, b"Content-Length: 0") + b"\r\n" for number in (3, 4, 5))
        received = await send_bytes(address, (b"".join(requests),))
        places = [received.find(b"odd-%d\r" % number) for number in (3, 4, 5)]
        self._expect(places == sorted(places) and -1 not in places, b"pipelined", received)
