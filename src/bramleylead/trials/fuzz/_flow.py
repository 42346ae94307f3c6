"""Sound requests beside the odd ones: each must be answered, and rightly."""

from __future__ import annotations

from collections.abc import Mapping
from typing import final

import anyio

from bramleylead.platform import _names as names
from bramleylead.trials.site._callers import DEADLINE_S
from bramleylead.trials.site._callers import HOST_NAME
from bramleylead.trials.site._callers import Got
from bramleylead.trials.site._callers import input_of
from bramleylead.trials.site._callers import send_once
from bramleylead.trials.site._judge import EVENT_TOKENS
from bramleylead.trials.site._judge import Judge
from bramleylead.trials.site._judge import made_by
from bramleylead.trials.site._processes import Node

TRIES = 5
RETRY_S = 0.4
PAUSE_S = 0.05
START_PATIENCE_S = 40.0
REFUSED = (429, 503)


@final
class SoundFlow:
    """Programs of two turns with a plain request of each kind between them, without end.

    :ivar served: how many requests were answered with success.
    """

    def __init__(self, gateway: Node, judge: Judge) -> None:
        self._gateway = gateway
        self._judge = judge
        self._programs = 0
        self.served = 0
        self.refused = 0
        self.unserved: list[str] = []

    async def wait_served(self) -> None:
        """Send programs until one is served, from its first try on.

        :raises TimeoutError: if none is.
        """
        with anyio.fail_after(START_PATIENCE_S):
            while True:
                await self.run_program()
                if not self.unserved and not self.refused:
                    return
                self.unserved.clear()
                self.refused = 0

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            await self.run_program()
            await anyio.sleep(PAUSE_S)

    async def run_program(self) -> None:
        """Send one program."""
        self._programs += 1
        name = f"p{self._programs}"
        first = await self._turn(f"turn-{name}-1", name, b"", "")
        await self._send("/safe/x", f"plain-safe-{name}", b"order", {})
        await self._send("/unsafe/x", f"plain-unsafe-{name}", b"order", {})
        if first:
            chain = input_of(first) + made_by(first)
            await self._turn(f"turn-{name}-2", name, chain, first)

    async def _turn(self, request: str, program: str, chain: bytes, previous: str) -> str:
        headers = {
            names.PROGRAM_ID: program,
            names.SESSION_ID: program,
            names.TOKEN_BUDGET: "10000",
            names.TOKEN_USAGE: f"100,{5 * EVENT_TOKENS}",
            **({names.PREVIOUS_TURN: previous} if previous else {}),
        }
        return await self._send("/turns/x", request, None, headers, chain)

    async def _send(
        self,
        path: str,
        name: str,
        body: bytes | None,
        more: Mapping[str, str],
        chain: bytes = b"",
    ) -> str:
        """Send a request, again where it was refused; return its id, or nothing if not served."""
        got = Got(0, b"", False)
        for attempt in range(TRIES):
            request = f"{name}-{attempt}"
            given = input_of(request) if body is None else body
            if body is None:
                self._judge.expect_body(request, chain + given)
            self._judge.asked(request, self._gateway.name, repeatable=path == "/safe/x")
            headers = {
                "host": HOST_NAME,
                names.REQUEST_ID: request,
                names.DEADLINE_MS: str(int(DEADLINE_S * 1000)),
                **more,
            }
            got = await send_once(self._gateway.http, path, given, headers)
            self._judge.answered(request, got.status, got.body, whole=got.whole)
            if got.status == 200 and got.whole:
                self.served += 1
                return request
            if got.status not in REFUSED:
                break
            self.refused += 1
            await anyio.sleep(RETRY_S)
        self.unserved.append(f"{name}: {got.status or 'cut off'} {got.body[:200]!r}")
        return ""
