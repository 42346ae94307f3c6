"""Bodies that are read only to be thrown away."""

from __future__ import annotations

import tracemalloc
import unittest

from bramleylead.http._exchange import Exchange
from bramleylead.standins import run_virtual

CHUNK = b"x" * 65_536
CHUNKS = 200
MAX_PEAK_BYTES = 1_000_000


class DiscardedBodyTest(unittest.TestCase):
    # Guards against callers whose refused bodies, 16 MB each, fill the memory of a process.
    def test_a_refused_body_is_not_held(self) -> None:
        left = CHUNKS

        async def receive() -> dict:
            nonlocal left
            left -= 1
            return {"type": "http.request", "body": CHUNK, "more_body": left > 0}

        async def send(event: dict) -> None:
            pass

        async def main() -> int:
            headers = [(b"content-length", str(len(CHUNK) * CHUNKS).encode())]
            scope = {"method": "POST", "path": "/", "headers": headers}
            exchange = Exchange(scope, receive, send)
            tracemalloc.start()
            await exchange.respond(413, b"", [])
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            return peak

        self.assertLess(run_virtual(main, seed=1), MAX_PEAK_BYTES)
        self.assertEqual(left, 0)
