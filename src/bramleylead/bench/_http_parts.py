"""Parts of the HTTP bench: a node that answers at once, a bare application, a cheap caller."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any
from typing import final

import anyio
import anyio.lowlevel

from bramleylead.connection._tcp import split_address
from bramleylead.metrics import Metrics
from bramleylead.promises import Promises
from bramleylead.request import AnswerChunk
from bramleylead.request import AnswerEnd
from bramleylead.request import CallRequest
from bramleylead.request import find_branch
from bramleylead.request import hash_key
from bramleylead.version import Branch
from bramleylead.version import Config

TEXT = "x" * 40
END_MARK = b"[DONE]"
READ_BYTES = 65_536


def key_of(branch: int) -> str:
    """Return the key of a branch of the bench."""
    return f"key of branch {branch}"


def config_with(branches: int) -> Config:
    """Return a configuration with this many branches."""
    found = {
        f"branch-{number}": Branch(
            key_sha256=hash_key(key_of(number)), budget="all", program_kinds=("chat",)
        )
        for number in range(branches)
    }
    return Config(number=1, branches=found)


@final
class InstantNode:
    """Answers every call at once with a fixed number of chunks; only calls are served."""

    stopping = False

    def __init__(self, *, branches: int, chunks: int) -> None:
        self.metrics = Metrics()
        self.promises = Promises(self.metrics.registry)
        self.config = config_with(branches)
        self._chunks = chunks

    def branch_of_key(self, key: str) -> str | None:
        """Return the branch with this key."""
        return find_branch(self.config, key)

    def is_operator(self, key: str) -> bool:
        """No caller of the bench is an operator."""
        return False

    @asynccontextmanager
    async def call(self, request: CallRequest) -> AsyncIterator[AsyncIterator[Any]]:
        """Play the answer."""
        yield self._play(request)

    async def _play(self, request: CallRequest) -> AsyncIterator[AnswerChunk | AnswerEnd]:
        for number in range(self._chunks):
            await anyio.lowlevel.checkpoint()
            yield AnswerChunk(number * len(TEXT), TEXT, 8)
        length = self._chunks * len(TEXT)
        yield AnswerEnd(1, 1, length, "stop", 10, 0, 8 * self._chunks, "engine", True)


@final
class BareApp:
    """Sends events of the same size from plain ASGI: the baseline."""

    def __init__(self, *, chunks: int, event_bytes: int) -> None:
        self._chunks = chunks
        self._event = b"data: " + b"x" * (event_bytes - 8) + b"\n\n"

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request."""
        while (await receive()).get("more_body"):
            pass
        headers = [(b"content-type", b"text/event-stream")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        for _ in range(self._chunks):
            await anyio.lowlevel.checkpoint()
            await send({"type": "http.response.body", "body": self._event, "more_body": True})
        await send({"type": "http.response.body", "body": b"data: [DONE]\n\n"})


def request_bytes(branch: int) -> bytes:
    """Return one streamed chat-completions request as it goes over the wire."""
    message = {"role": "user", "content": "How do I sharpen a chain?"}
    body = json.dumps({"model": "assistant", "stream": True, "messages": [message]}).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\nBramleylead-Program: p\r\n"
        f"Authorization: Bearer {key_of(branch)}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


async def read_answers(address: str, request: bytes, *, count: int) -> list[float]:
    """Send a request several times on one connection; return the times to the first event."""
    first_s: list[float] = []
    async with await anyio.connect_tcp(*split_address(address)) as stream:
        for _ in range(count):
            sent_s = anyio.current_time()
            await stream.send(request)
            tail = b""
            started = False
            while END_MARK not in tail:
                data = await stream.receive(READ_BYTES)
                if not started and b"data:" in data:
                    started = True
                    first_s.append(anyio.current_time() - sent_s)
                tail = tail[-len(END_MARK) :] + data
            if not tail.endswith(b"0\r\n\r\n"):
                await stream.receive(READ_BYTES)
    return first_s
