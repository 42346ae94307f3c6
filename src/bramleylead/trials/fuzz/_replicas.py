"""Answers of a replica: plain ones and streams, valid ones and ones broken in one place."""

from __future__ import annotations

import random
from collections.abc import Callable

from bramleylead.platform import _names as names
from bramleylead.trials.fuzz._breaking import ODD_TEXTS
from bramleylead.trials.fuzz._breaking import damage
from bramleylead.trials.fuzz._breaking import split
from bramleylead.trials.fuzz._callers import ODD_PATHS
from bramleylead.trials.fuzz._cases import Case
from bramleylead.trials.fuzz._cases import TargetKind

STREAM_PATH = ODD_PATHS[2]
HEADERS = (
    names.SERVER_LOAD,
    names.SERVER_LIMIT,
    names.SERVER_LEAVING,
    names.NOT_RUN,
    names.RETRY_AFTER,
    names.REQUEST_ID,
    names.SERVER_STAMP,
    "keep-alive",
    "connection",
    "content-encoding",
    "content-length",
    "content-type",
    "transfer-encoding",
    "bramleylead-weight-versions",
)
STATUSES = (99, 100, 101, 102, 199, 204, 205, 206, 301, 304, 400, 404, 421, 429, 500, 503, 599, 999)
EVENTS = b"".join(f"id: {number}\ndata: word {number}\n\n".encode() for number in range(1, 6))
ODD_EVENTS = (
    b"id: -1\ndata: a\n\n",
    b"id: 99999999999999999999999\ndata: a\n\n",
    b"id: \xff\ndata: \xff\xfe\n\n",
    b"id: 1\n\n",
    b"data: a\n\n",
    b"id: 1\ndata: a\n\nid: 1\ndata: a\n\n",
    b"id: 3\ndata: a\n\nid: 2\ndata: a\n\n",
    b"id: 1\rdata: a\r\r",
    b"\n\n\n\n",
    b": comment\n\n",
    b"bramleylead-weight-versions: x\nid: 1\ndata: a\n\n",
    b"id: 1\ndata: " + b"x" * 3_000_000 + b"\n\n",
    b"x" * 3_000_000,
)


class ReplicaCases:
    """Draws the cases of replicas.

    :param rng: draws all of them.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._serial = 0
        self._makers: tuple[Callable[[str, str], Case], ...] = (
            self._valid,
            self._odd_header,
            self._odd_status,
            self._damaged,
            self._cut,
            self._doubled,
            self._interim,
            self._odd_events,
            self._noise,
        )

    def draw(self) -> Case:
        """Return the next case."""
        self._serial += 1
        return self._rng.choice(self._makers)(f"odd-{self._serial}", self._rng.choice(ODD_PATHS))

    def _valid(self, request: str, path: str) -> Case:
        return self._case("valid", request, path, self._answer(request, path))

    def _odd_header(self, request: str, path: str) -> Case:
        header = self._rng.choice(HEADERS)
        more = f"{header}: {self._rng.choice(ODD_TEXTS)}\r\n".encode("latin-1")
        keep = self._rng.random() < 0.3
        data = self._answer(request, path, more=more, without="" if keep else header)
        return self._case(f"odd {header}", request, path, data)

    def _odd_status(self, request: str, path: str) -> Case:
        status = self._rng.choice(STATUSES)
        return self._case(f"status {status}", request, path, self._answer(request, path, status))

    def _damaged(self, request: str, path: str) -> Case:
        head, gap, body = self._answer(request, path).partition(b"\r\n\r\n")
        return self._case("damaged", request, path, damage(head, self._rng) + gap + body)

    def _cut(self, request: str, path: str) -> Case:
        data = self._answer(request, path)
        return self._case("cut", request, path, data[: self._rng.randrange(len(data))])

    def _doubled(self, request: str, path: str) -> Case:
        return self._case("twice", request, path, self._answer(request, path) * 2)

    def _interim(self, request: str, path: str) -> Case:
        lines = b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"
        count = self._rng.choice((1, 3, 2_000))
        return self._case("interim", request, path, lines * count + self._answer(request, path))

    def _odd_events(self, request: str, path: str) -> Case:
        body = EVENTS[: self._rng.randrange(len(EVENTS))] + self._rng.choice(ODD_EVENTS)
        data = self._answer(request, STREAM_PATH, body=body)
        return self._case("odd events", request, STREAM_PATH, data)

    def _noise(self, request: str, path: str) -> Case:
        data = self._rng.randbytes(self._rng.randrange(1, 300))
        return self._case("noise", request, path, data)

    def _answer(
        self,
        request: str,
        path: str,
        status: int = 200,
        *,
        more: bytes = b"",
        without: str = "",
        body: bytes = EVENTS,
    ) -> bytes:
        """Return an answer; a stream's length is that of its bytes or given in chunks."""
        is_stream = path == STREAM_PATH
        headers = {
            names.REQUEST_ID: request,
            names.SERVER_STAMP: f"stamp-{request}",
            names.SERVER_LOAD: "1,0,8",
            "content-type": "text/event-stream" if is_stream else "text/plain",
        }
        if is_stream:
            headers["transfer-encoding"] = "chunked"
            body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        else:
            headers["content-length"] = str(len(body))
        headers.pop(without, None)
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        return f"HTTP/1.1 {status} X\r\n{lines}".encode() + more + b"\r\n" + body

    def _case(self, name: str, request: str, path: str, data: bytes) -> Case:
        parts = split(data, self._rng)
        return Case(TargetKind.REPLICAS, "gateway", name, parts, (request,), path=path)
