"""Callers' requests: valid ones, and ones that are broken in one place."""

from __future__ import annotations

import random
from collections.abc import Callable

from bramleylead.platform import _names as names
from bramleylead.trials.fuzz._breaking import ODD_TEXTS
from bramleylead.trials.fuzz._breaking import damage
from bramleylead.trials.fuzz._breaking import split
from bramleylead.trials.fuzz._cases import SMUGGLED
from bramleylead.trials.fuzz._cases import Case
from bramleylead.trials.fuzz._cases import TargetKind
from bramleylead.trials.site._callers import HOST_NAME

ODD_PATHS = ("/odd-safe/x", "/odd-unsafe/x", "/odd-turns/x")
CRLF = b"\r\n"
NUMBERS = (
    names.DEADLINE_MS,
    names.FINISH_MS,
    names.TOKEN_BUDGET,
    names.TOKEN_USAGE,
    names.PROMPT_PREFIX,
    names.LAST_EVENT_ID,
    names.PREVIOUS_TURN,
    names.PROGRAM_ID,
    names.SESSION_ID,
    names.EXPECT_INSTANCE,
    names.RESUMES,
    names.AFFINITY_KEY,
    "bramleylead-length-hint",
    "bramleylead-pin-ms",
    "bramleylead-hold",
    "bramleylead-expect-version",
    "kv-from",
    "content-length",
    "host",
    "connection",
    "expect",
    "upgrade",
    "transfer-encoding",
)
ODD_LINES = (
    b"Content-Length: +5\r\n",
    b"Content-Length: -1\r\n",
    b"Content-Length: 5, 5\r\n",
    b"Content-Length: 5, 6\r\n",
    b"Content-Length: 0x5\r\n",
    b"Content-Length: " + b"9" * 30 + b"\r\n",
    b"Content-Length : 5\r\n",
    b"Transfer-Encoding : chunked\r\n",
    b"Transfer-Encoding: identity, chunked\r\n",
    b"Transfer-Encoding: chunked, chunked\r\n",
    b"Transfer-Encoding: \x0bchunked\r\n",
    b"Transfer-Encoding:\r\n chunked\r\n",
    b"X: a\r\n\tTransfer-Encoding: chunked\r\n",
    b"X: a\nTransfer-Encoding: chunked\r\n",
    b"X: a\rTransfer-Encoding: chunked\r\n",
    b"X\x00: a\r\n",
    b": a\r\n",
    b" : a\r\n",
    b"\r\r\n",
    b"Expect: 100-continue\r\n",
    b"Upgrade: h2c\r\nConnection: upgrade\r\n",
    b"Connection: close, bramleylead-request-id, host\r\n",
    b"Host: other.example\r\n",
)
ODD_CHUNKS = (
    b"5;a=b\r\nhello\r\n0\r\n\r\n",
    b"5;" + b"a" * 20_000 + b"\r\nhello\r\n0\r\n\r\n",
    b"FFFFFFFFFFFFFFFFF\r\nhello",
    b"7fffffffffffffff\r\nhello",
    b"-1\r\nhello\r\n0\r\n\r\n",
    b"0x5\r\nhello\r\n0\r\n\r\n",
    b"5\nhello\n0\n\n",
    b"5\r\nhelloXX0\r\n\r\n",
    b"5\r\nhello\r\n0\r\nContent-Length: 3\r\n\r\n",
    b"5\r\nhello",
    b"\r\n",
)


class CallerCases:
    """Draws the cases of callers.

    :param rng: draws all of them.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._serial = 0
        self._makers: tuple[Callable[[], Case], ...] = (
            self._valid,
            self._odd_header,
            self._doubled_header,
            self._odd_line,
            self._two_lengths,
            self._odd_chunks,
            self._joined,
            self._damaged,
            self._odd_start,
            self._wrong_length,
        )

    def draw(self) -> Case:
        """Return the next case."""
        return self._rng.choice(self._makers)()

    def _valid(self) -> Case:
        request = self._name()
        return self._case("valid", self._request(request), request)

    def _odd_header(self) -> Case:
        request = self._name()
        header = self._rng.choice(NUMBERS)
        value = self._rng.choice(ODD_TEXTS).encode("latin-1")
        line = header.encode() + b": " + value + CRLF
        data = self._request(request, more=line, without=header)
        return self._case(f"odd {header}", data, request)

    def _doubled_header(self) -> Case:
        request = self._name()
        other = f"{request}b"
        line = f"{names.REQUEST_ID}: {other}\r\n".encode()
        return self._case("two ids", self._request(request, more=line), request, other)

    def _odd_line(self) -> Case:
        request = self._name()
        line = self._rng.choice(ODD_LINES)
        return self._case(f"line {line[:40]!r}", self._request(request, more=line), request)

    def _two_lengths(self) -> Case:
        """Send a body by chunks whose length also covers a request that stands behind them."""
        request = self._name()
        hidden = b"0\r\n\r\n" + self._request(self._hidden())
        line = b"Transfer-Encoding: chunked\r\n"
        data = self._request(request, more=line, body=hidden)
        return self._case("length and chunks", data, request)

    def _odd_chunks(self) -> Case:
        request = self._name()
        head = self._request(
            request, more=b"Transfer-Encoding: chunked\r\n", without="content-length", body=b""
        )
        return self._case("chunks", head + self._rng.choice(ODD_CHUNKS), request)

    def _joined(self) -> Case:
        requests = [self._name() for _ in range(self._rng.randrange(2, 5))]
        return self._case("joined", b"".join(map(self._request, requests)), *requests)

    def _damaged(self) -> Case:
        request = self._name()
        head, end, body = self._request(request).partition(CRLF)
        rest, gap, content = body.partition(CRLF + CRLF)
        lines = rest.split(CRLF)
        place = self._rng.choice([i for i, line in enumerate(lines) if b"-id: odd" not in line])
        lines[place] = damage(lines[place], self._rng)
        data = head + end + CRLF.join(lines) + gap + content
        return self._case("damaged", data, request)

    def _odd_start(self) -> Case:
        request = self._name()
        path = self._rng.choice(ODD_PATHS)
        start = self._rng.choice(
            (
                f"GET {path}%ff%00%2e%2e/ HTTP/1.1",
                f"GET {path}?a=%zz&&=&\x7f HTTP/1.1",
                f"GET {path}{'y' * 40_000} HTTP/1.1",
                f"G\u00cbT {path} HTTP/1.1",
                f"POST {path} HTTP/1.0",
                f"POST {path} HTTP/9.9",
                f"POST {path}",
                f"CONNECT {HOST_NAME}:80 HTTP/1.1",
                "OPTIONS * HTTP/1.1",
                f"HEAD {path} HTTP/1.1",
                f"POST http://{HOST_NAME}{path} HTTP/1.1",
                "PRI * HTTP/2.0",
                "\x16\x03\x01\x02\x00",
            )
        )
        _, _, rest = self._request(request).partition(CRLF)
        data = start.encode("latin-1") + CRLF + rest
        return self._case(f"start {start[:40]!r}", data, request)

    def _wrong_length(self) -> Case:
        request = self._name()
        body = b"order"
        line = f"content-length: {self._rng.choice((0, 1, 4, 6, 50, 2_000_000))}\r\n".encode()
        data = self._request(request, more=line, without="content-length", body=body)
        return self._case("wrong length", data, request)

    def _request(
        self, request: str, *, more: bytes = b"", without: str = "", body: bytes = b"order"
    ) -> bytes:
        headers = {
            "host": HOST_NAME,
            names.REQUEST_ID: request,
            names.DEADLINE_MS: "1500",
            names.PROGRAM_ID: request,
            names.SESSION_ID: request,
            names.TOKEN_BUDGET: "500",
            names.TOKEN_USAGE: "100,50",
            names.PROMPT_PREFIX: "5c1e07a2:80,91bd3f06:20",
            "content-length": str(len(body)),
        }
        headers.pop(without, None)
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        start = f"POST {self._rng.choice(ODD_PATHS)} HTTP/1.1\r\n"
        return (start + lines).encode() + more + CRLF + body

    def _case(self, name: str, data: bytes, *asked: str) -> Case:
        parts = split(data, self._rng)
        return Case(TargetKind.CALLERS, "gateway", name, parts, asked)

    def _name(self) -> str:
        self._serial += 1
        return f"odd-{self._serial}"

    def _hidden(self) -> str:
        return f"{SMUGGLED}-{self._serial}"
