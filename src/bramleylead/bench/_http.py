"""``bramleylead bench http``: what the HTTP face costs, against a bare application beside it.

Server and caller share one process, the same for both sides, so the differences are the cost of
the face and the ratios are lower bounds.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import anyio
from absl import flags

from bramleylead.bench import Figure
from bramleylead.bench import bench
from bramleylead.bench._http_parts import BareApp
from bramleylead.bench._http_parts import InstantNode
from bramleylead.bench._http_parts import key_of
from bramleylead.bench._http_parts import read_answers
from bramleylead.bench._http_parts import request_bytes
from bramleylead.node_settings import RequestSettings
from bramleylead.request import HttpApp
from bramleylead.request import HttpServer
from bramleylead.request import find_branch

EVENT_BYTES = 250
"""Size of one event of the face with 40 characters of text."""

LONG_ANSWER_CHUNKS = 500
WARM_UP_REQUESTS = 5
LOOK_UPS = 300
US = 1e6
MS = 1e3


class _Run(NamedTuple):
    """What one run against one application cost."""

    cpu_s: float
    first_s: list[float]

    def quantile_s(self, share: float) -> float:
        """Return the time to the first event that this share of requests did not exceed."""
        ordered = sorted(self.first_s)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


@bench("http")
def run_http(words: list[str]) -> int:
    """Print the cost of an event, a request and the look-up of a key."""
    values = flags.FlagValues()
    flags.DEFINE_integer("requests", 300, "Requests a run.", lower_bound=20, flag_values=values)
    flags.DEFINE_integer("branches", 250, "Branches in force.", lower_bound=1, flag_values=values)
    values(["bench http", *words])
    for figure in _measure(values.requests, values.branches):
        print(figure.to_json())
    return 0


def _measure(requests: int, branches: int) -> list[Figure]:
    bare_one, face_one = _pair(branches, chunks=1, requests=requests)
    long_requests = max(1, requests // 10)
    bare_long, face_long = _pair(branches, chunks=LONG_ANSWER_CHUNKS, requests=long_requests)
    events = long_requests * (LONG_ANSWER_CHUNKS - 1)

    def per_event_us(long: _Run, one: _Run) -> float:
        """Take off what the requests themselves cost."""
        return (long.cpu_s - one.cpu_s * long_requests / requests) / events * US

    def per_request_us(one: _Run) -> float:
        return one.cpu_s / requests * US

    p50_ms, p99_ms = (
        [run.quantile_s(share) * MS for run in (face_one, bare_one)] for share in (0.5, 0.99)
    )
    face_event, bare_event = per_event_us(face_long, face_one), per_event_us(bare_long, bare_one)
    return [
        Figure("http.cpu_per_event_us", face_event, "us", bare_event),
        Figure("http.cpu_per_request_us", per_request_us(face_one), "us", per_request_us(bare_one)),
        Figure("http.first_event_p50_ms", p50_ms[0], "ms", p50_ms[1]),
        Figure("http.first_event_p99_ms", p99_ms[0], "ms", p99_ms[1]),
        Figure("http.key_look_up_us", _look_up_us(branches), "us", _look_up_us(1)),
    ]


def _pair(branches: int, *, chunks: int, requests: int) -> tuple[_Run, _Run]:
    """Run the bare application and the face, one after the other."""
    node: Any = InstantNode(branches=branches, chunks=chunks)
    face = HttpApp(node, RequestSettings())
    request = request_bytes(branches - 1)
    return (
        _serve_and_read(BareApp(chunks=chunks, event_bytes=EVENT_BYTES), request, requests),
        _serve_and_read(face, request, requests),
    )


def _serve_and_read(app: Callable[..., Any], request: bytes, requests: int) -> _Run:
    async def main() -> _Run:
        server = HttpServer(app)
        async with anyio.create_task_group() as tasks:
            address = await tasks.start(server.serve, "127.0.0.1:0")
            await read_answers(address, request, count=WARM_UP_REQUESTS)
            before_s = time.process_time()
            first_s = await read_answers(address, request, count=requests)
            run = _Run(time.process_time() - before_s, first_s)
            server.kill()
        return run

    return anyio.run(main, backend="asyncio")


def _look_up_us(branches: int) -> float:
    config = InstantNode(branches=branches, chunks=0).config
    key = key_of(branches - 1)
    before_s = time.process_time()
    for _ in range(LOOK_UPS):
        find_branch(config, key)
    return (time.process_time() - before_s) / LOOK_UPS * US
