"""Callers of the soak: programs of kept turns with a budget, between them plain requests."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple
from typing import final

import anyio

from bramleylead.connection._http_client import HTTP_ERRORS
from bramleylead.connection._http_client import HttpClient
from bramleylead.connection._http_client import HttpStream
from bramleylead.platform import _names as names
from bramleylead.platform._types import CallKind
from bramleylead.trials.site._judge import EVENT_TOKENS
from bramleylead.trials.site._judge import Judge
from bramleylead.trials.site._judge import made_by
from bramleylead.trials.site._processes import Node

HOST_NAME = "soak.example"
TURNS = 5
TRIES = 4
DEADLINE_S = 3.0
READ_SLACK_S = 2.0
RETRY_S = 0.3
PAUSE_S = 0.05
TURN_TOKENS = 5 * EVENT_TOKENS
BUDGET_TOKENS = 4 * TURN_TOKENS
"""Less than a program's turns need: each program ends by its budget if nothing else ends it."""


class Got(NamedTuple):
    """What came of an answer; ``whole`` if its end came."""

    status: int
    body: bytes
    whole: bool


@final
class Callers:
    """Runs programs one after the other in each of several tasks.

    :param gateways: returns the gateways that take callers now.
    """

    def __init__(
        self, judge: Judge, gateways: Callable[[], list[Node]], rng: random.Random
    ) -> None:
        self._judge = judge
        self._gateways = gateways
        self._rng = rng
        self._serial = 0
        self.programs = 0
        self.turns = 0

    async def run(self) -> None:
        """Run programs until cancelled."""
        while True:
            await self._run_program()
            await anyio.sleep(PAUSE_S)

    async def _run_program(self) -> None:
        self.programs += 1
        program = f"p{self.programs}"
        chain, previous = b"", ""
        for _ in range(TURNS):
            request = await self._turn(program, chain, previous)
            if request is None:
                return
            chain += input_of(request) + made_by(request)
            previous = request
            self.turns += 1
            for kind in (CallKind.SAFE, CallKind.UNSAFE):
                await self._plain(program, kind)

    async def _turn(self, program: str, chain: bytes, previous: str) -> str | None:
        """Send a turn until it is answered whole; return its id, or ``None`` if it never was."""
        for _ in range(TRIES):
            request = self._name("turn")
            self._judge.expect_body(request, chain + input_of(request))
            headers = {
                names.PROGRAM_ID: program,
                names.SESSION_ID: program,
                names.TOKEN_BUDGET: str(BUDGET_TOKENS),
                names.TOKEN_USAGE: f"100,{TURN_TOKENS}",
                names.PREVIOUS_TURN: previous,
            }
            got = await self._ask("/turns/x", request, input_of(request), headers)
            self._judge.handed(
                program,
                got.body.count(b"\n\n") * EVENT_TOKENS if got.status == 200 else 0,
                budget=BUDGET_TOKENS,
                most=TURN_TOKENS,
            )
            if got.status == 200 and got.whole:
                return request
            if got.status == 404 and previous:
                self._judge.lost(request, previous)
            if got.status in (402, 404):
                return None
            await anyio.sleep(RETRY_S)
        return None

    async def _plain(self, program: str, kind: CallKind) -> None:
        """Send a plain request, again only where that is allowed."""
        for _ in range(TRIES):
            request = self._name(f"plain-{kind.value}")
            headers = {names.PROGRAM_ID: program}
            got = await self._ask(f"/{kind.value}/x", request, b"order", headers)
            if got.status == 200 or (kind is CallKind.UNSAFE and got.status not in (429, 503)):
                return
            await anyio.sleep(RETRY_S)

    async def _ask(self, path: str, request: str, body: bytes, more: dict[str, str]) -> Got:
        gateways = self._gateways()
        if not gateways:
            await anyio.sleep(RETRY_S)
            return Got(0, b"", False)
        gateway = self._rng.choice(gateways)
        self._judge.asked(request, gateway.name, repeatable=path.startswith("/safe/"))
        headers = {
            "host": HOST_NAME,
            names.REQUEST_ID: request,
            names.DEADLINE_MS: str(int(DEADLINE_S * 1000)),
            **{name: value for name, value in more.items() if value},
        }
        got = await send_once(gateway.http, path, body, headers)
        self._judge.answered(request, got.status, got.body, whole=got.whole)
        return got

    def _name(self, kind: str) -> str:
        self._serial += 1
        return f"{kind}-{self._serial}"


async def send_once(address: str, path: str, body: bytes, headers: dict[str, str]) -> Got:
    """Send one request on a connection of its own and read what comes of its answer."""
    status, whole = 0, False
    parts: list[bytes] = []
    async with HttpClient(address, keep_alive=False) as client:
        with anyio.move_on_after(DEADLINE_S + READ_SLACK_S):
            async with client.stream(
                "POST", path, body=body, headers=headers, timeout_s=DEADLINE_S + READ_SLACK_S
            ) as opened:
                if opened.is_err():
                    return Got(0, b"", False)
                stream = opened.ok_value
                status = stream.status
                whole = await _read(stream, parts)
    return Got(status, b"".join(parts), whole)


async def _read(stream: HttpStream, parts: list[bytes]) -> bool:
    """Read a body part by part; return whether its end came."""
    try:
        async for part in stream.body:
            parts.append(part)
    except HTTP_ERRORS:
        return False  # an answer that breaks off is the judge's matter
    return True


def input_of(request: str) -> bytes:
    """Return the new input of a turn."""
    return f"input of {request};".encode()
