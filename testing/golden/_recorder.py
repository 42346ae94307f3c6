"""Runs a session over a fleet under virtual time and writes down its requests and answers."""

from __future__ import annotations

import json
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio

from bramleylead.request import HttpApp
from bramleylead.standins import run_virtual
from bramleylead.trials._deployments import OPERATOR_KEY
from bramleylead.trials._deployments import Deployment
from bramleylead.trials._deployments import branch_key
from bramleylead.trials._fleet import Fleet
from bramleylead.trials._fleet import running_fleet
from testing.asgi_client import RawRequest
from testing.asgi_client import RawResponse
from testing.asgi_client import send

SEED = 20
FIRST_EVENING_S = 1_800_000_000
"""Wall-clock time at which every session begins, in seconds since 1970."""
FLEET_WARM_UP_S = 40.0


class Recorder:
    """Sends a session's requests and writes each down with its answer.

    Requests that overlap are written in the order in which they were sent.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self._entries: list[str] = []
        self._programs = 0

    def note(self, text: str) -> None:
        """Write down a line that is no request."""
        self._entries.append(f"# {text}\n")

    async def caller(
        self,
        node: str,
        branch: str,
        method: str,
        target: str,
        body: Any = None,
        *,
        gone_after_s: float | None = None,
        **headers: str,
    ) -> RawResponse:
        """Send a caller's request to a node."""
        key = branch_key(branch)
        return await self._send(node, key, method, target, body, gone_after_s, headers)

    async def operator(self, node: str, method: str, target: str, body: Any = None) -> RawResponse:
        """Send an operator's request to a node."""
        return await self._send(node, OPERATOR_KEY, method, target, body, None, {})

    async def unrecorded(self, node: str, target: str) -> Any:
        """Read as an operator what holds ages, and so changes with every timing of the fleet."""
        headers = (("authorization", f"Bearer {OPERATOR_KEY}"),)
        response = await send(self._app(node), RawRequest("GET", target, headers))
        return json.loads(response.body)

    def text(self) -> str:
        """Return the whole record."""
        return "\n".join(self._entries)

    async def _send(
        self,
        node: str,
        key: str,
        method: str,
        target: str,
        body: Any,
        gone_after_s: float | None,
        headers: dict[str, str],
    ) -> RawResponse:
        named = {name.replace("_", "-").lower(): value for name, value in headers.items()}
        sent = {"authorization": f"Bearer {key}", **named}
        data = b"" if body is None else json.dumps(body).encode()
        request = RawRequest(method, target, tuple(sorted(sent.items())), data, gone_after_s)
        place = len(self._entries)
        self._entries.append("")
        response = await send(self._app(node), request)
        self._entries[place] = _written(node, request, response)
        return response

    def _app(self, name: str) -> HttpApp:
        host = self.fleet.hosts[name]
        if host.node is None:
            raise ValueError(f"{name} does not run")
        return HttpApp(
            host.node,
            host.settings.requests,
            new_program=self._new_program,
            wall_clock=lambda: FIRST_EVENING_S + anyio.current_time(),
        )

    def _new_program(self) -> str:
        self._programs += 1
        return f"p-{self._programs}"


Session = Callable[[Recorder], Awaitable[None]]


def record(deployment: Deployment, session: Session) -> str:
    """Run one session and return its record."""

    async def main() -> str:
        async with running_fleet(deployment, seed=SEED) as fleet:
            await anyio.sleep(FLEET_WARM_UP_S)
            recorder = Recorder(fleet)
            await session(recorder)
        for violation in fleet.violations:
            recorder.note(f"violation {violation.promise.value}: {violation.detail}")
        return recorder.text()

    return run_virtual(main, seed=SEED)


def _written(node: str, request: RawRequest, response: RawResponse) -> str:
    lines = [f"{node} {request.method} {request.target}"]
    lines += [f"{name}: {value}" for name, value in request.headers]
    asked = "\n".join(f"> {line}" for line in lines)
    if request.body:
        asked += f"\n>\n> {request.body.decode()}"
    if request.gone_after_s is not None:
        asked += f"\n! the caller closes the connection after {request.gone_after_s:g} s"
    if not response.status:
        return f"{asked}\n! no answer\n"
    lines = [f"HTTP {response.status}"]
    lines += [f"{name}: {value}" for name, value in response.headers]
    got = "\n".join(f"< {line}".rstrip() for line in lines)
    got += "\n<\n" + "\n".join(f"< {line}".rstrip() for line in response.body.decode().split("\n"))
    return f"{asked}\n{got}\n" + ("" if response.whole else "! cut off\n")
