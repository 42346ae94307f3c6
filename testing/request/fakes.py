"""A fake node for tests of the HTTP layer, and an ASGI client."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import aclosing
from contextlib import asynccontextmanager
from typing import Any
from typing import NamedTuple

import anyio
from result import Err
from result import Ok
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.metrics import Metrics
from bramleylead.node_settings import RequestSettings
from bramleylead.promises import Promises
from bramleylead.request import AnswerChunk
from bramleylead.request import AnswerEnd
from bramleylead.request import AnswerStart
from bramleylead.request import CallRequest
from bramleylead.request import EndProgram
from bramleylead.request import HttpApp
from bramleylead.request import OpenProgram
from bramleylead.request import ProgramView
from bramleylead.request import ReadProgram
from bramleylead.request import ResumeCall
from bramleylead.request import TicketAccepted
from bramleylead.request import TicketState
from bramleylead.request import TicketStatus
from bramleylead.request import TicketSummary
from bramleylead.request import find_branch
from bramleylead.request import hash_key
from bramleylead.version import Branch
from bramleylead.version import Config
from bramleylead.version import ProgramKind
from bramleylead.version import Tool

PRAIRIE_KEY = "key of the prairie school"
OTHER_KEY = "key of another school"
OPERATOR_KEY = "key of the operators"
SETTINGS = RequestSettings(max_body_bytes=20_000, body_timeout_s=5.0, default_deadline_s=60.0)

CONFIG = Config(
    number=1,
    branches={
        "prairie": Branch(
            key_sha256=hash_key(PRAIRIE_KEY), budget="prairie", program_kinds=("tutoring",)
        ),
        "other": Branch(
            key_sha256=hash_key(OTHER_KEY), budget="prairie", program_kinds=("tutoring", "exam")
        ),
    },
    program_kinds={
        "tutoring": ProgramKind(
            models=("tutor",), tools={"records": Tool(endpoint_group="records", repeatable=True)}
        ),
        "exam": ProgramKind(models=("tutor",)),
    },
)

ScriptStep = AnswerStart | AnswerChunk | AnswerEnd | Failure | float | Exception


def answer(text: str, *, number: int = 1, value: Any = None) -> list[ScriptStep]:
    """Return the script of a successful answer in two chunks."""
    half = len(text) // 2
    return [
        AnswerStart(number, 3),
        AnswerChunk(0, text[:half], 1),
        AnswerChunk(half, text[half:], 1),
        answer_end(text, number=number, value=value),
    ]


def answer_end(text: str, *, number: int = 1, value: Any = None) -> AnswerEnd:
    """Return the end of a successful answer."""
    return AnswerEnd(number, 3, len(text), "stop", 10, 4, 2, "engine-1", True, value)


class FakeNode:
    """Answers calls from ``script``: yields items, sleeps for floats, raises exceptions."""

    def __init__(self, script: list[ScriptStep] | None = None) -> None:
        self.metrics = Metrics()
        self.promises = Promises(self.metrics.registry)
        self.config = CONFIG
        self.stopping = False
        self.is_ready = True
        self.script = script if script is not None else answer("hello there")
        self.requests: list[Any] = []
        self.call_cancelled = anyio.Event()
        self.open_result: Failure | None = None
        self.tickets: dict[int, bytes] = {}
        self.http_address = "127.0.0.1:1"

    def alive(self) -> bool:
        return True

    def ready(self) -> bool:
        return self.is_ready

    def dump(self) -> dict[str, Any]:
        return {"node": "fake", "members": [{"node": "fake", "http_address": self.http_address}]}

    def explain(self, program: str, number: int) -> dict[str, Any]:
        return {"call": f"{program}/{number}", "node": "fake"}

    def branch_of_key(self, key: str) -> str | None:
        return find_branch(self.config, key)

    def is_operator(self, key: str) -> bool:
        return key == OPERATOR_KEY

    async def open_program(self, request: OpenProgram) -> Result[ProgramView, Failure]:
        self.requests.append(request)
        if self.open_result is not None:
            return Err(self.open_result)
        return Ok(self._view(request.branch, request.program, request.kind, request.parent))

    async def read_program(self, request: ReadProgram) -> Result[ProgramView, Failure]:
        self.requests.append(request)
        if request.branch != "prairie":
            return Err(Failure(ErrorKind.FORBIDDEN, "program: belongs to another branch"))
        return Ok(self._view(request.branch, request.program, "tutoring", ""))

    async def end_program(self, request: EndProgram) -> Result[ProgramView, Failure]:
        self.requests.append(request)
        return Ok(self._view(request.branch, request.program, "tutoring", ""))

    @asynccontextmanager
    async def call(self, request: CallRequest | ResumeCall) -> AsyncIterator[AsyncIterator[Any]]:
        self.requests.append(request)
        try:
            async with aclosing(self._run_script()) as items:
                yield items
        except anyio.get_cancelled_exc_class():
            self.call_cancelled.set()
            raise

    resume = call

    async def submit_ticket(self, body: bytes) -> Result[TicketAccepted, Failure]:
        number = json.loads(body)["number"]
        winner = self.tickets.setdefault(number, body)
        if winner != body:
            return Err(Failure(ErrorKind.TICKET_CONFLICT, f"ticket {number}: taken by ann"))
        return Ok(TicketAccepted(number, False))

    async def ticket_status(self, number: int) -> Result[TicketStatus, Failure]:
        return Ok(TicketStatus(number, TicketState.SPREADING, (), ("node-2",)))

    async def list_tickets(self) -> Result[tuple[TicketSummary, ...], Failure]:
        return Ok(tuple(TicketSummary(number, "ann", "") for number in sorted(self.tickets)))

    async def show_ticket(self, number: int) -> Result[dict[str, Any], Failure]:
        if number not in self.tickets:
            return Err(Failure(ErrorKind.UNKNOWN_TARGET, f"ticket {number}: not accepted"))
        return Ok(json.loads(self.tickets[number]))

    async def _run_script(self) -> AsyncIterator[Any]:
        for step in self.script:
            if isinstance(step, float):
                await anyio.sleep(step)
            elif isinstance(step, Exception):
                raise step
            else:
                yield step

    def _view(self, branch: str, program: str, kind: str, parent: str) -> ProgramView:
        return ProgramView(
            program, branch, kind, parent, 3, 1, 0, "", (("user", "hi"),), ((1, "a", "b", "c", ""),)
        )


class Response(NamedTuple):
    """A whole response as received by the caller."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> Any:
        return json.loads(self.body)

    @property
    def error(self) -> dict[str, Any]:
        return self.json["error"]

    @property
    def events(self) -> list[tuple[str, str]]:
        """Event name and data of each server-sent event; comments as ``("", line)``."""
        events = []
        for block in self.body.decode().split("\n\n"):
            lines = block.splitlines()
            name = next((line[7:] for line in lines if line.startswith("event: ")), "message")
            events += [(name, line[6:]) for line in lines if line.startswith("data: ")]
            events += [("", line) for line in lines if line.startswith(":")]
        return events


class Caller:
    """Calls an ASGI application as uvicorn would.

    :param part_interval_s: delay before each part of the request body.
    :param disconnect_after_s: when the caller closes the connection.
    """

    def __init__(
        self,
        node: FakeNode,
        *,
        key: str = PRAIRIE_KEY,
        part_interval_s: float = 0.0,
        disconnect_after_s: float | None = None,
    ) -> None:
        self.app = HttpApp(node, SETTINGS, new_program_id=lambda: "p-new", wall_clock=lambda: 1e9)
        self.key = key
        self.part_interval_s = part_interval_s
        self.disconnect_after_s = disconnect_after_s
        self.first_byte_s = -1.0

    async def post(self, path: str, body: Any = None, **headers: str) -> Response:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        return await self.send("POST", path, [data] if body is not None else [], headers)

    async def get(self, path: str, **headers: str) -> Response:
        return await self.send("GET", path, [], headers)

    async def send(
        self, method: str, path: str, parts: list[bytes], headers: dict[str, str]
    ) -> Response:
        raw_path, _, query = path.partition("?")
        headers_by_name = {name.replace("_", "-").lower(): value for name, value in headers.items()}
        if self.key:
            headers_by_name.setdefault("authorization", f"Bearer {self.key}")
        if parts:
            headers_by_name.setdefault("transfer-encoding", "chunked")
        scope = {
            "type": "http",
            "method": method,
            "path": raw_path,
            "query_string": query.encode(),
            "headers": [(name.encode(), value.encode()) for name, value in headers_by_name.items()],
        }
        sent: list[Any] = []
        started_s = anyio.current_time()

        async def send(event: Any) -> None:
            if not sent:
                self.first_byte_s = anyio.current_time() - started_s
            sent.append(event)

        await self.app(scope, self._receiver(parts), send)
        return _collect(sent)

    def _receiver(self, parts: list[bytes]) -> Callable[[], Awaitable[dict[str, Any]]]:
        pending_parts = list(parts) or [b""]
        started_s = anyio.current_time()

        async def receive() -> dict[str, Any]:
            if not pending_parts:
                await self._wait_disconnected(started_s)
                return {"type": "http.disconnect"}
            await anyio.sleep(self.part_interval_s)
            part = pending_parts.pop(0)
            return {"type": "http.request", "body": part, "more_body": bool(pending_parts)}

        return receive

    async def _wait_disconnected(self, started_s: float) -> None:
        if self.disconnect_after_s is None:
            await anyio.sleep_forever()
        else:
            await anyio.sleep_until(started_s + self.disconnect_after_s)


def _collect(sent: list[Any]) -> Response:
    start = sent[0]
    headers = {name.decode(): value.decode() for name, value in start["headers"]}
    body = b"".join(event["body"] for event in sent[1:])
    return Response(start["status"], headers, body)
