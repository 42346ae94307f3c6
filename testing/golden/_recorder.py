"""Runs a session against a fleet in virtual time and records its requests and responses."""

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
SESSION_START_UNIX_S = 1_800_000_000
"""Unix time, in seconds, at which every session begins."""
FLEET_WARM_UP_S = 40.0


class Recorder:
    """Sends a session's requests and records each with its response.

    Concurrent requests are recorded in the order in which they were sent.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self._entries: list[str] = []
        self._programs = 0

    def note(self, text: str) -> None:
        """Add a comment line to the record."""
        self._entries.append(f"# {text}\n")

    async def caller(
        self,
        node: str,
        branch: str,
        method: str,
        target: str,
        body: Any = None,
        *,
        disconnect_after_s: float | None = None,
        **headers: str,
    ) -> RawResponse:
        """Send a caller's request to a node."""
        key = branch_key(branch)
        return await self._send(node, key, method, target, body, disconnect_after_s, headers)

    async def operator(self, node: str, method: str, target: str, body: Any = None) -> RawResponse:
        """Send an operator's request to a node."""
        return await self._send(node, OPERATOR_KEY, method, target, body, None, {})

    async def unrecorded(self, node: str, target: str) -> Any:
        """Send an operator's request without recording it, as its response varies with timing."""
        headers = (("authorization", f"Bearer {OPERATOR_KEY}"),)
        response = await send(self._app(node), RawRequest("GET", target, headers))
        return json.loads(response.body)

    def text(self) -> str:
        """Return the record as text."""
        return "\n".join(self._entries)

    async def _send(
        self,
        node: str,
        key: str,
        method: str,
        target: str,
        body: Any,
        disconnect_after_s: float | None,
        headers: dict[str, str],
    ) -> RawResponse:
        header_values = {name.replace("_", "-").lower(): value for name, value in headers.items()}
        all_headers = {"authorization": f"Bearer {key}", **header_values}
        data = b"" if body is None else json.dumps(body).encode()
        request = RawRequest(
            method, target, tuple(sorted(all_headers.items())), data, disconnect_after_s
        )
        index = len(self._entries)
        self._entries.append("")
        response = await send(self._app(node), request)
        self._entries[index] = _format_entry(node, request, response)
        return response

    def _app(self, name: str) -> HttpApp:
        host = self.fleet.hosts[name]
        if host.node is None:
            raise ValueError(f"{name} is not running")
        return HttpApp(
            host.node,
            host.settings.requests,
            new_program_id=self._new_program_id,
            wall_clock=lambda: SESSION_START_UNIX_S + anyio.current_time(),
        )

    def _new_program_id(self) -> str:
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


def _format_entry(node: str, request: RawRequest, response: RawResponse) -> str:
    lines = [f"{node} {request.method} {request.target}"]
    lines += [f"{name}: {value}" for name, value in request.headers]
    request_text = "\n".join(f"> {line}" for line in lines)
    if request.body:
        request_text += f"\n>\n> {request.body.decode()}"
    if request.disconnect_after_s is not None:
        request_text += (
            f"\n! the caller closes the connection after {request.disconnect_after_s:g} s"
        )
    if not response.status:
        return f"{request_text}\n! no answer\n"
    lines = [f"HTTP {response.status}"]
    lines += [f"{name}: {value}" for name, value in response.headers]
    response_text = "\n".join(f"< {line}".rstrip() for line in lines)
    response_text += "\n<\n" + "\n".join(
        f"< {line}".rstrip() for line in response.body.decode().split("\n")
    )
    return f"{request_text}\n{response_text}\n" + ("" if response.whole else "! cut off\n")
