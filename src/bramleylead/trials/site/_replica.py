"""Replicas of the soak: they speak the platform's protocol and tell the judge what they run."""

from __future__ import annotations

import random
from contextlib import AsyncExitStack
from typing import final

import anyio

from bramleylead.http._exchange import Exchange
from bramleylead.http._exchange import Receive
from bramleylead.http._exchange import Scope
from bramleylead.http._exchange import Send
from bramleylead.platform import _names as names
from bramleylead.platform._types import Replica
from bramleylead.standins._serving import serve_app
from bramleylead.trials.site._judge import Judge
from bramleylead.trials.site._judge import answer_of
from bramleylead.trials.site._judge import event
from bramleylead.trials.site._judge import words_of
from bramleylead.trials.site._proxy import Proxy

MAX_BODY_BYTES = 1_000_000
BODY_TIMEOUT_S = 5.0
WORK_S = 0.02
SLOTS = 8


@final
class SoakReplica:
    """One replica behind a proxy; ``grey`` is the share of its requests that it fails."""

    def __init__(self, name: str, service: str, judge: Judge, rng: random.Random) -> None:
        self._judge = judge
        self._rng = rng
        self._running = 0
        self.name = name
        self.service = service
        self.grey = 0.0
        self.proxy = Proxy("")

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen until the stack closes."""
        self.proxy.target = await stack.enter_async_context(serve_app(self._app, "127.0.0.1:0"))
        await stack.enter_async_context(self.proxy.run())

    def entry(self, *, leaving: bool) -> Replica:
        """Return the replica's entry in the list."""
        return Replica(self.name, self.service, self.proxy.address, "d", leaving, SLOTS)

    async def _app(self, scope: Scope, receive: Receive, send: Send) -> None:
        exchange = Exchange(scope, receive, send)
        body = await exchange.read_body(max_bytes=MAX_BODY_BYTES, timeout_s=BODY_TIMEOUT_S)
        request = exchange.headers.get(names.REQUEST_ID, "")
        if exchange.headers.get(names.EXPECT_INSTANCE) != self.name:
            await exchange.respond(421, b"", [(names.REQUEST_ID, request)])
            return
        if self._running >= SLOTS:
            refusal = [(names.REQUEST_ID, request), (names.NOT_RUN, "1")]
            await exchange.respond(503, b"", refusal)
            return
        self._running += 1
        try:
            self._judge.ran(request, self.name, self.service, body.unwrap_or(b""))
            await self._run(exchange, request)
        finally:
            self._running -= 1

    async def _run(self, exchange: Exchange, request: str) -> None:
        headers = [(names.REQUEST_ID, request), (names.SERVER_STAMP, f"stamp-{request}")]
        await anyio.sleep(WORK_S * self._rng.uniform(0.5, 3.0))
        if self._rng.random() < self.grey:
            await exchange.respond(500, b"failed", headers)
        elif request.startswith("plain"):
            await exchange.respond(200, answer_of(request), headers)
        else:
            await self._stream(exchange, request, headers)

    async def _stream(
        self, exchange: Exchange, request: str, headers: list[tuple[str, str]]
    ) -> None:
        after = int(exchange.headers.get(names.LAST_EVENT_ID, "0") or 0)
        await exchange.start(200, [*headers, ("content-type", "text/event-stream")])
        for number, word in enumerate(words_of(request), 1):
            if number > after:
                await exchange.write(event(number, word))
                await anyio.sleep(WORK_S)
        await exchange.write(b"", more=False)
