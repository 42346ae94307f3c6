"""A small deployment for one case: the project's processes between stand-ins.

The gateways and ledger nodes run as separate processes with the commands of the deploy file. The
platform's store, the replicas and the clients are stand-ins in the process of the case.
"""

from __future__ import annotations

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any
from typing import NamedTuple

import anyio
from platform_store import PlatformStoreStandIn
from serving import serve_app

from bramleylead.connection._http_client import HttpClient
from bramleylead.http._exchange import Exchange

HOST = "127.0.0.1"
ROOT = Path.cwd()
HOST_NAME = "ficu95.example"
EVENT_TOKENS = 23
GRACE_S = 8.0
START_LIMIT_S = 30.0
CASE_LIMIT_S = 110.0
STABLE_WINDOW_S = 3.0
FIRST_PORT = 10_240
LAST_PORT = 30_000
DRAIN_S = 2.5

HELD = 10
BROKEN = 11
NOT_RUN = 12

TROUBLE = os.environ.get("TROUBLE", "1") != "0"

_given_ports: set[int] = set()


class Record:
    """The file in which a case writes what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def write(self, line: str) -> None:
        """Write a line with the seconds since the start."""
        print(f"{time.monotonic() - self._began_at:8.3f} {line}", file=self._file, flush=True)


class Node:
    """One gateway or ledger node: a process that is started by the command of the deploy file."""

    def __init__(self, name: str, role: str, folder: Path, store_address: str) -> None:
        with (ROOT / "deploy/system.toml").open("rb") as file:
            self._words = tomllib.load(file)["roles"][role]["run"].split()
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None
        self._store_address = store_address
        self._ports = free_ports(4)
        self.name = name
        self.role = role
        self.http = f"{HOST}:{self._ports[1]}"
        self.ready = f"{HOST}:{self._ports[2]}"
        self.log = folder / f"{name}.log"

    @property
    def exit_code(self) -> int | None:
        """The exit code of its process; ``None`` while it runs."""
        return None if self._process is None else self._process.poll()

    def start(self) -> None:
        """Start a process."""
        file = self._folder / f"{self.name}.json"
        file.write_text(json.dumps(self._settings()))
        variables = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        variables |= {"PYTHONPATH": "target/deps", "BRAMLEYLEAD_NODE_FILE": str(file)}
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                self._words, cwd=ROOT, env=variables, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process still runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        await poll(lambda: self._process is None or self._process.poll() is not None)

    def wipe(self) -> None:
        """Lose the disk; the process must have ended."""
        shutil.rmtree(self._folder / self.name, ignore_errors=True)

    def _settings(self) -> dict[str, Any]:
        settings: dict[str, Any] = {
            "node": self.name,
            "region": "sask",
            "data_centre": "sask-a",
            "data_centres": {"sask-a": "sask"},
            "host": HOST,
            "peer_ports": [self._ports[0], self._ports[0]],
            "metrics_address": f"{HOST}:{self._ports[3]}",
            "store": {"address": self._store_address},
            "cluster_key": "key between nodes of a deployment",
            "losses": 1,
            "stop_grace_s": GRACE_S,
        }
        if self.role == "ledger":
            return {**settings, "data_folder": str(self._folder / self.name)}
        return {**settings, "http_address": self.http, "ready_address": self.ready}


class Run(NamedTuple):
    """A replica began to work on a request."""

    at: float
    replica: str
    request: str
    body: bytes
    headers: dict[str, str]


class Replica:
    """A replica of one service.

    :param work_s: how long it works on a request, or between two events of a stream.
    :param runs: takes a record of each run.
    """

    def __init__(
        self,
        name: str,
        service: str,
        runs: list[Run],
        *,
        slots: int = 12,
        work_s: float = 0.02,
        events: int = 11,
    ) -> None:
        self._runs = runs
        self._work_s = work_s
        self.slots = slots
        self.events = events
        self.name = name
        self.service = service
        self.running = 0
        self.address = ""
        self.break_after: Callable[[str], int | None] = lambda request: None

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen until the stack closes."""
        self.address = await stack.enter_async_context(serve_app(self.app, f"{HOST}:0"))

    def entry(self, *, state: str = "ready", address: str = "") -> dict[str, Any]:
        """Return its entry in the store."""
        return {
            "service": self.service,
            "address": address or self.address,
            "zone": "sask-a",
            "version": "1",
            "slots": self.slots,
            "state": state,
            "cold-remaining-ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }

    async def app(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        exchange = Exchange(scope, receive, send)
        body = (await exchange.read_body(max_bytes=64_000_000, timeout_s=20.0)).unwrap_or(b"")
        request = exchange.headers.get("bramleylead-request-id", "")
        own = [("bramleylead-request-id", request)]
        if exchange.headers.get("bramleylead-expect-instance", self.name) != self.name:
            await exchange.respond(421, b"", own)
            return
        if self.running >= self.slots:
            await exchange.respond(503, b"", [*own, ("bramleylead-not-run", "1")])
            return
        self.running += 1
        try:
            self._runs.append(Run(time.monotonic(), self.name, request, body, exchange.headers))
            stamp = ("bramleylead-server-stamp", f"{self.name}.{request}")
            if "bramleylead-token-usage" in exchange.headers:
                await self._stream(exchange, request, [*own, stamp])
            else:
                await anyio.sleep(self._work_s)
                await exchange.respond(200, f"done {request}".encode(), [*own, stamp])
        finally:
            self.running -= 1

    async def _stream(
        self, exchange: Exchange, request: str, headers: list[tuple[str, str]]
    ) -> None:
        after = int(exchange.headers.get("last-event-id", "0") or 0)
        session = exchange.headers.get("bramleylead-session-id", request)
        await exchange.start(200, [*headers, ("content-type", "text/event-stream")])
        for number in range(after + 1, self.events + 1):
            await anyio.sleep(self._work_s)
            await exchange.write(f"id: {number}\ndata: {session}.{number}\n\n".encode())
            if self.break_after(request) == number:
                raise ConnectionResetError("breaks off")
        await exchange.write(b"", more=False)


class Answer(NamedTuple):
    """What a client got; status 0 if the connection ended before an answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool
    took_s: float


async def ask(
    address: str,
    path: str,
    request: str,
    *,
    method: str = "POST",
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    deadline_s: float = 3.0,
    client: HttpClient | None = None,
    enough: Callable[[bytes], bool] = lambda body: False,
) -> Answer:
    """Send one request and read its answer.

    :param client: the client's kept connections; a new connection is used if none is given.
    :param enough: returns whether the client closes its connection after what it has read.
    """
    began_at = time.monotonic()
    fields = {
        "host": HOST_NAME,
        "bramleylead-request-id": request,
        "bramleylead-deadline-ms": str(int(deadline_s * 1000)),
        **(headers or {}),
    }
    parts = b""
    status, got, whole = 0, {}, False
    async with AsyncExitStack() as stack:
        if client is None:
            client = await stack.enter_async_context(HttpClient(address, keep_alive=False))
        with anyio.move_on_after(deadline_s + 1.0):
            async with client.stream(
                method, path, body=body, headers=fields, timeout_s=deadline_s + 1.0
            ) as opened:
                if opened.is_ok():
                    stream = opened.unwrap()
                    status, got = stream.status, stream.headers
                    try:
                        async for part in stream.body:
                            parts += part
                            if enough(parts):
                                break
                        else:
                            whole = True
                    except Exception as error:  # an answer that breaks off is not whole
                        got = {**got, "broken": type(error).__name__}
    return Answer(status, got, parts, whole, time.monotonic() - began_at)


def turn_headers(
    program: str, previous: str = "", *, budget: int = 1_000_000, finish_s: float = 90.0
) -> dict[str, str]:
    """Return the headers of a turn."""
    headers = {
        "bramleylead-program-id": program,
        "bramleylead-session-id": program,
        "bramleylead-finish-ms": str(int(finish_s * 1000)),
        "bramleylead-token-budget": str(budget),
        "bramleylead-token-usage": f"1000,{11 * EVENT_TOKENS}",
        "bramleylead-model": "m",
        "bramleylead-prompt-prefix": f"{program.encode().hex()[:8]}:1000",
    }
    return {**headers, "bramleylead-previous-turn": previous} if previous else headers


def output_of(session: str, *, events: int = 11) -> bytes:
    """Return what a whole turn adds to its chain after the input."""
    return b"".join(f"{session}.{number}\n".encode() for number in range(1, events + 1))


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST_NAME,
        "path-prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "attempts": 2,
        "timeout-ms": 3000,
        "target-latency-ms": 250,
        "priority": 0,
        **more,
    }


def configuration(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration."""
    engine = {"slots": 12, "kv-cache-tokens": 377_056, "event-tokens": EVENT_TOKENS}
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "lm-pool", "max-connections": 150, "engine": engine},
            {"name": "cert-app", "max-connections": 96},
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15_000,
        },
    }


class Deployment:
    """The processes and the stand-ins of one case."""

    def __init__(self, folder: Path, stack: AsyncExitStack) -> None:
        self._folder = folder
        self.stack = stack
        self.store = PlatformStoreStandIn()
        self.store_address = ""
        self.runs: list[Run] = []
        self.replicas: list[Replica] = []
        self.gateways: list[Node] = []
        self.ledgers: list[Node] = []

    async def add_replicas(self, service: str, count: int, **how: Any) -> list[Replica]:
        """Start replicas of a service and list them in the store."""
        added = [Replica(f"i-{service}-{n:02d}", service, self.runs, **how) for n in range(count)]
        for replica in added:
            await replica.start(self.stack)
            self.store.put("servers", replica.name, replica.entry())
        self.replicas += added
        return added

    def add_node(self, name: str, role: str, store_address: str = "") -> Node:
        """Start a process of the project; it ends with the case."""
        node = Node(name, role, self._folder, store_address or self.store_address)
        self.stack.push_async_callback(node.kill)
        (self.gateways if role == "gateway" else self.ledgers).append(node)
        node.start()
        return node

    async def start(self, routes: list[dict[str, Any]], *, gateways: int = 2) -> None:
        """Start the store, three ledger nodes and the gateways; wait until all are ready."""
        serving = serve_app(self.store.app, f"{HOST}:0")
        self.store_address = await self.stack.enter_async_context(serving)
        self.store.put("config", "main", configuration(1, routes))
        for number in range(3):
            self.add_node(f"storage-{number}", "ledger")
        for number in range(gateways):
            self.add_node(f"front-{number}", "gateway")

    async def wait_ready(self) -> None:
        """Wait until each gateway answers the balancer's question and the ledger is complete."""
        with anyio.fail_after(START_LIMIT_S):
            for node in self.gateways:
                await poll(lambda node=node: is_ready(node), every_s=0.2)
            await poll(lambda: len(self.members()) >= 3, every_s=0.2)
        await anyio.sleep(1.0)

    def members(self) -> list[str]:
        """Return the members of the ledger, as the store lists them."""
        found = self.store.get("ledger", "members")
        return [member["node"] for member in found["specification"]["members"]] if found else []


async def poll(condition: Callable[[], bool | Awaitable[bool]], *, every_s: float = 0.01) -> None:
    """Wait until a condition holds."""
    while True:
        found = condition()
        if found if isinstance(found, bool) else await found:
            return
        await anyio.sleep(every_s)


async def is_ready(node: Node) -> bool:
    """Ask a gateway as the platform's balancer does."""
    async with HttpClient(node.ready) as client:
        answer = await client.request("GET", "/api/readiness", timeout_s=1.0)
    return answer.is_ok() and answer.unwrap().status == 200


def free_ports(count: int) -> list[int]:
    """Return free ports of the loopback address, below those that the kernel gives out itself."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in _given_ports:
            _given_ports.add(port)
            found.append(port)
    return found


@asynccontextmanager
async def opened_deployment() -> AsyncIterator[Deployment]:
    """Yield a deployment in a temporary folder; its processes end with the context."""
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            stack.callback(shutil.copytree, folder, keep, dirs_exist_ok=True)
        yield Deployment(folder, stack)


def run_case(case: Callable[[Record], Awaitable[int]], file: str) -> None:
    """Run a case and end this process with its result."""
    record = Record(Path(file).resolve().parent / "record.txt")

    async def limited() -> int:
        with anyio.move_on_after(CASE_LIMIT_S):
            return await case(record)
        record.write("the case took too long")
        return NOT_RUN

    try:
        result = anyio.run(limited)
    except BaseException as error:
        record.write(f"couldn't run: {error!r}")
        raise SystemExit(NOT_RUN) from error
    record.write({HELD: "the rule held", BROKEN: "the rule was broken"}.get(result, "couldn't run"))
    sys.exit(result)
