"""A replica that names a limit in its answers gets no more requests than that allows."""

from __future__ import annotations

import unittest

import anyio
from anyio.abc import ByteStream

from bramleylead.platform._types import CallKind
from testing.gateway._site import ReceivedRequest
from testing.gateway._site import ReceivedResponse
from testing.gateway._site import Site
from testing.gateway._site import event_stream
from testing.gateway._site import full_response
from testing.gateway._site import route
from testing.gateway.test_plain_calls import run_with_site

LIMIT_PER_S = 2.0
STABLE_S = 3.0
"""Time after a limit was first named until which it must be kept."""
WINDOW_S = 4.0
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
RESPONSE_TIME_S = 0.05
STREAM = route(CallKind.STREAM, resumable=True)


class LimitedReplica:
    """Answers requests after a while and names its limit, if any; records their arrivals."""

    def __init__(self, limit: str = "", *, streams: bool = False) -> None:
        self.limit = limit
        self.streams = streams
        self.arrivals: list[float] = []

    async def answer(self, received: ReceivedRequest, stream: ByteStream) -> None:
        self.arrivals.append(anyio.current_time())
        await anyio.sleep(RESPONSE_TIME_S)
        extra = [f"Server-Limit: {self.limit}"] if self.limit else []
        if self.streams:
            data = event_stream(received, 1)
            for header in extra:
                data = data.replace(b"\r\n", f"\r\n{header}\r\n".encode(), 1)
        else:
            data = full_response(received, b"done", "200 OK", *extra)
        await stream.send(data)

    def max_in_window(self) -> int:
        """Return the most arrivals in any window that starts once the limit must be kept."""
        starts = [at for at in self.arrivals if at >= self.arrivals[0] + STABLE_S]
        return max(
            (sum(start <= at < start + WINDOW_S for at in self.arrivals) for start in starts),
            default=0,
        )


async def send_load(
    site: Site, path: str, *, per_s: float, for_s: float, retries: int = 0
) -> list[ReceivedResponse]:
    """Send requests at a constant rate and return the responses."""
    responses: list[ReceivedResponse] = []

    async def send(number: int) -> None:
        for attempt in range(1 + retries):
            headers = {"bramleylead-request-id": f"q{number}.{attempt}"}
            body = b"input" if path.startswith("/stream") else b""
            response = await site.request(path, body=body, headers=headers)
            if response.status != 503:
                break
            await anyio.sleep(float(response.headers["retry-after"]))
        responses.append(response)

    async with anyio.create_task_group() as tasks:
        for number in range(int(per_s * for_s)):
            tasks.start_soon(send, number)
            await anyio.sleep(1 / per_s)
    return responses


class LimitedReplicaTest(unittest.TestCase):
    def test_a_replica_gets_no_more_requests_than_the_limit_it_names(self) -> None:
        async def main(site: Site) -> None:
            limited, other = LimitedReplica("2"), LimitedReplica()
            await site.add_replica("a", limited.answer)
            await site.add_replica("b", other.answer)
            responses = await send_load(site, "/safe/x", per_s=20, for_s=15)
            self.assertEqual({response.status for response in responses}, {200})
            self.assertLessEqual(limited.max_in_window(), MAX_IN_WINDOW)
            self.assertGreaterEqual(len(limited.arrivals), LIMIT_PER_S * 15 / 2)

        run_with_site(main)

    def test_streams_keep_the_limit_too(self) -> None:
        async def main(site: Site) -> None:
            limited, other = LimitedReplica("2", streams=True), LimitedReplica(streams=True)
            await site.add_replica("a", limited.answer)
            await site.add_replica("b", other.answer)
            responses = await send_load(site, "/stream/x", per_s=20, for_s=15)
            self.assertEqual({response.status for response in responses}, {200})
            self.assertLessEqual(limited.max_in_window(), MAX_IN_WINDOW)

        run_with_site(main, STREAM)

    def test_requests_that_no_limit_allows_are_refused_at_once(self) -> None:
        async def main(site: Site) -> None:
            replicas = [LimitedReplica("2"), LimitedReplica("2")]
            for name, replica in zip("ab", replicas, strict=True):
                await site.add_replica(name, replica.answer)
            responses = await send_load(site, "/safe/x", per_s=20, for_s=15)
            for replica in replicas:
                self.assertLessEqual(replica.max_in_window(), MAX_IN_WINDOW)
            refused = [response for response in responses if response.status == 503]
            self.assertGreater(len(refused), 100)
            for response in refused:
                self.assertGreater(float(response.headers["retry-after"]), 0)

        run_with_site(main)

    def test_the_load_returns_once_no_limit_is_named_any_more(self) -> None:
        async def main(site: Site) -> None:
            limited, other = LimitedReplica("2"), LimitedReplica()
            await site.add_replica("a", limited.answer)
            await site.add_replica("b", other.answer)
            await send_load(site, "/safe/x", per_s=20, for_s=10)
            limited.limit = ""
            limited.arrivals.clear()
            await send_load(site, "/safe/x", per_s=20, for_s=5)
            self.assertGreater(len(limited.arrivals), 30)

        run_with_site(main)
