"""A small deployment on loopback addresses: stand-ins of the platform, and the project's programs.

The store and the replicas follow PROTOCOL.md and run in this process. Gateways and ledger nodes are
processes of their own, started by the commands of the deploy file with settings that are made from
its templates.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl
from urllib.parse import unquote

ROOT = Path(__file__).resolve().parent.parent.parent
REGIONS = {"sask-a": "sask", "manitoba-a": "manitoba", "alberta-a": "alberta"}
ZONES = list(REGIONS)
BOUNDS = {"grace-s": 8, "drain-ms": 2500, "config-apply-ms": 2500, "stable-window-ms": 3000}
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 4194304,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}
POLL_S = 0.1
CONTRACTS = ["base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "platform"]


class Record:
    """What was sent, answered and run, in the order of the steady clock."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def add(self, what: str, **fields: Any) -> None:
        """Write one line."""
        shown = " ".join(f"{name}={value!r}" for name, value in fields.items())
        self._file.write(f"{self.now():9.3f} {what} {shown}\n")
        self._file.flush()


class Message:
    """A request or a response that was read whole."""

    def __init__(self, first: list[str], headers: dict[str, str], body: bytes) -> None:
        self.first = first
        self.headers = headers
        self.body = body


async def read_head(reader: asyncio.StreamReader) -> tuple[list[str], dict[str, str]]:
    """Read the first line and the headers of a message.

    :raises EOFError: if the connection ends before.
    """
    line = (await reader.readline()).decode("latin-1").rstrip("\r\n")
    if not line:
        raise EOFError
    headers: dict[str, str] = {}
    while True:
        header = (await reader.readline()).decode("latin-1")
        if not header:
            raise EOFError
        if not header.strip():
            return line.split(" ", 2), headers
        name, _, value = header.partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_chunks(reader: asyncio.StreamReader) -> Any:
    """Yield the chunks of a body.

    :raises EOFError: if the connection ends before the last one.
    """
    while True:
        line = await reader.readline()
        if not line:
            raise EOFError
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size)
        await reader.readline()
        if not size:
            return
        yield data


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body with a length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        return b"".join([chunk async for chunk in read_chunks(reader)])
    return await reader.readexactly(int(headers.get("content-length", "0")))


def write_response(
    writer: asyncio.StreamWriter, status: int, headers: dict[str, str], body: bytes
) -> None:
    """Write a response with a length."""
    lines = [f"HTTP/1.1 {status} x", *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"content-length: {len(body)}")
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[bool]]


class HttpServer:
    """Serves one request at a time on each connection.

    The handler writes the response, and returns whether the connection is kept.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int = 0) -> str:
        """Listen, and return the address."""
        self._server = await asyncio.start_server(self._serve, host, port)
        return f"{host}:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if not await self._handler(Message(first, headers, body), writer):
                    break
                await writer.drain()
        except (EOFError, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class Store:
    """The platform's store: objects by kind and name, conditions on revisions, and watches.

    ``intercept`` is called with each call before it is done; it returns true if it has dealt with
    the call itself, whose connection is then closed.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        self.events: list[tuple[int, str, dict[str, Any], bool]] = []
        self.revision = 100
        self._changed = asyncio.Event()
        self.server = HttpServer(self._handle)
        self.watching: dict[asyncio.StreamWriter, str] = {}
        self.intercept: Callable[[Message, asyncio.StreamWriter], Awaitable[bool]] | None = None
        self.address = ""

    async def start(self, host: str) -> None:
        """Serve."""
        self.address = await self.server.start(host)

    def put(self, kind: str, name: str, value: Any, part: str = "specification") -> dict[str, Any]:
        """Create or replace an object."""
        self.revision += 1
        fresh = {
            "metadata": {
                "name": name,
                "revision": 0,
                "created": self.revision,
                "finalizers": [],
                "deleting": False,
            },
            "specification": None,
            "status": None,
        }
        found = self.objects.setdefault(kind, {}).get(name, fresh)
        made = {**found, part: value}
        made["metadata"] = {**found["metadata"], "revision": self.revision}
        self.objects[kind][name] = made
        self._tell(kind, made, False)
        return made

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        self._tell(kind, self.objects[kind].pop(name), True)

    def _tell(self, kind: str, found: dict[str, Any], removed: bool) -> None:
        self.events.append((self.revision, kind, found, removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, message: Message, writer: asyncio.StreamWriter) -> bool:
        if self.intercept is not None and await self.intercept(message, writer):
            return False
        method, target, _ = message.first
        path, _, query = target.partition("?")
        kind, name, part, *_ = [
            *map(unquote, path.removeprefix("/api/objects/").split("/")),
            "",
            "",
        ]
        asked = dict(parse_qsl(query))
        plain = json.loads(message.body) if message.body else {}
        if method == "GET" and "watch" in asked:
            self.watching[writer] = kind
            try:
                status, answer = await self._watch(kind, asked)
            finally:
                self.watching.pop(writer, None)
        else:
            status, answer = self._call(method, kind, name, part, asked, plain)
        body = json.dumps(answer).encode()
        write_response(writer, status, {"content-type": "application/json"}, body)
        return True

    async def _watch(self, kind: str, asked: dict[str, str]) -> tuple[int, Any]:
        after, until = int(asked["watch"]), time.monotonic() + int(asked["wait-ms"]) / 1000
        while True:
            found = [
                {"object": item, "removed": removed}
                for revision, of, item, removed in self.events
                if of == kind and revision > after
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "as-of": self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _call(
        self, method: str, kind: str, name: str, part: str, asked: dict[str, str], plain: Any
    ) -> tuple[int, Any]:
        objects = self.objects.setdefault(kind, {})
        if method == "GET" and not name:
            names = sorted(key for key in objects if key > asked.get("after", ""))
            items = [objects[key] for key in names[:500]]
            return 200, {"items": items, "has-more": len(names) > 500, "as-of": self.revision}
        if method == "POST":
            name = plain["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            return 200, self.put(kind, name, plain.get("specification"))
        found = objects.get(name)
        if found is None:
            return 404, {}
        if method == "GET":
            return 200, found
        now = found["metadata"]["revision"]
        if int(plain.get("metadata", {}).get("revision", now)) != now:
            return 409, found
        part = part or "specification"
        if found[part] == plain.get(part):
            return 200, found
        return 200, self.put(kind, name, plain.get(part), part)


class Replica:
    """One replica of a plain service or of a model service.

    :param work_s: how long a plain request, or each event of a stream, takes.
    :param events: how many events a stream has.
    """

    def __init__(
        self, site: Site, name: str, service: str, zone: str, work_s: float, events: int
    ) -> None:
        self.site, self.name, self.service, self.zone = site, name, service, zone
        self.work_s, self.events = work_s, events
        self.server = HttpServer(self._handle)
        self.address = ""
        self.ran: list[str] = []
        self.serving = True

    async def start(self) -> None:
        """Serve, and register in the store."""
        self.address = await self.server.start(self.site.host(f"replica {self.name}"))
        self.report("ready")

    def exit(self) -> None:
        """Close the listener and every connection, as the end of the process does."""
        self.serving = False
        self.server.close()

    def entry(self, state: str) -> dict[str, Any]:
        """Return the entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 12,
            "state": state,
            "cold-remaining-ms": 0,
            "sequence": 1,
            "born": 1_790_000_000_000,
        }

    def report(self, state: str) -> None:
        """Write the entry."""
        self.site.store.put("servers", self.name, self.entry(state))

    async def _handle(self, message: Message, writer: asyncio.StreamWriter) -> bool:
        method, target, _ = message.first
        headers = message.headers
        request = headers.get("bramleylead-request-id", "")
        common = {"Bramleylead-Request-Id": request, "Keep-Alive": "timeout=30"}
        expected = headers.get("bramleylead-expect-instance", self.name)
        if expected != self.name:
            self.site.record.add("replica_misdirected", replica=self.name, request=request)
            write_response(writer, 421, {**common, "Bramleylead-Instance-Id": self.name}, b"")
            return True
        self.ran.append(request)
        self.site.record.add(
            "replica_ran",
            replica=self.name,
            service=self.service,
            request=request,
            method=method,
            target=target,
            body_bytes=len(message.body),
        )
        self.site.on_run(self, request, message)
        common["Bramleylead-Server-Stamp"] = f"{self.name}.{request}"
        if self.events:
            return await self._stream(common, headers, writer)
        await asyncio.sleep(self.work_s)
        write_response(writer, 200, common, f"done {request} at {self.name}".encode())
        return True

    async def _stream(
        self, common: dict[str, str], headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> bool:
        lines = ["HTTP/1.1 200 OK", "content-type: text/event-stream", "transfer-encoding: chunked"]
        lines += [f"{name}: {value}" for name, value in common.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(int(headers.get("last-event-id") or 0) + 1, self.events + 1):
            await asyncio.sleep(self.work_s)
            event = f"id: {number}\ndata: {self.name} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        return True


class Process:
    """A gateway or a node of the ledger."""

    def __init__(self, site: Site, role: str, name: str, zone: str) -> None:
        self.site, self.role, self.name, self.zone = site, role, name, zone
        self.host = site.host(name)
        self.folder = site.folder / name
        self.folder.mkdir()
        self.front = f"{self.host}:{site.ports[0]}"
        self.ready = f"{self.host}:{site.ports[1]}"
        self.store = site.store.address
        self.popen: subprocess.Popen[bytes] | None = None

    def settings(self) -> dict[str, Any]:
        """Return the platform's fields, from which the template makes the settings."""
        ports = self.site.ports
        return {
            "node-name": self.name,
            "ip-address": self.host,
            "zone": self.zone,
            "region": REGIONS[self.zone],
            "zones": REGIONS,
            "internal-ports": [ports[2], ports[2] + 15],
            "seed-nodes": [f"{node.host}:{ports[3]}" for node in self.site.ledgers[:3]],
            "contracts": CONTRACTS,
            "listen-addresses": {"front": self.front, "ready": self.ready},
            "fault-tolerance": {"machines": 1},
            "bounds": BOUNDS,
            "platform": {"address": self.store},
            "data-directory": str(self.folder / "data"),
        }

    def start(self) -> None:
        """Start the process by the command of the deploy file."""
        role = self.site.deploy["roles"][self.role]
        text = _render((ROOT / role["template"]).read_text(), self.settings())
        text = text.replace(f"{self.host}:9464", f"{self.host}:{self.site.ports[4]}")
        settings = self.folder / "settings.json"
        settings.write_text(text)
        program, *words = role["run"].split()
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= {
            "BRAMLEYLEAD_NODE_FILE": str(settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        log = (self.folder / "log").open("ab")
        self.popen = subprocess.Popen(
            [shutil.which(program) or program, *words],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.site.record.add("process_started", node=self.name)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.popen is not None
        self.site.record.add("signal", node=self.name, signal=number.name)
        self.popen.send_signal(number)

    def end(self) -> None:
        """End the process, if it runs."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.send_signal(signal.SIGCONT)
        if self.popen is not None:
            self.popen.wait()

    def log(self) -> str:
        """Return what the process has written."""
        return (self.folder / "log").read_text(errors="replace")


class Answer:
    """What a client got: a status, or 0 if the connection ended before a complete answer."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status, self.headers, self.body = status, headers, body


class Site:
    """The whole deployment."""

    def __init__(self, record: Record, *, gateways: list[str], ledgers: list[str]) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._hosts: dict[str, str] = {}
        rng = random.Random()
        self._block = f"127.{rng.randrange(2, 250)}.{rng.randrange(250)}"
        self.ports = _free_ports()
        self.store = Store(record)
        self.gateways: list[Process] = []
        self.ledgers: list[Process] = []
        self._gateway_zones, self._ledger_zones = gateways, ledgers
        self.replicas: dict[str, Replica] = {}
        self.on_run: Callable[[Replica, str, Message], None] = lambda *_: None
        self._next = 0

    def host(self, name: str) -> str:
        """Return the loopback address of a machine."""
        return self._hosts.setdefault(name, f"{self._block}.{len(self._hosts) + 2}")

    async def open(self, configuration: dict[str, Any], replicas: list[tuple[Any, ...]]) -> None:
        """Start everything, and wait until all gateways are ready."""
        await self.store.start(self.host("store"))
        self.store.put("config", "main", configuration)
        for name, service, zone, work_s, events in replicas:
            self.replicas[name] = Replica(self, name, service, zone, work_s, events)
            await self.replicas[name].start()
        self.ledgers = [
            Process(self, "ledger", f"storage-{zone}-{number}", zone)
            for number, zone in enumerate(self._ledger_zones, 1)
        ]
        self.gateways = [
            Process(self, "gateway", f"front-{zone}-{number}", zone)
            for number, zone in enumerate(self._gateway_zones, 1)
        ]
        for process in [*self.ledgers, *self.gateways]:
            process.start()
        await self.wait_ready(20.0)

    def add_ledger(self, zone: str) -> Process:
        """Start one more machine with a disk, under a name and at an address of its own."""
        process = Process(self, "ledger", f"storage-{zone}-{len(self.ledgers) + 1}", zone)
        self.ledgers.append(process)
        process.start()
        return process

    async def retire(self, node: Process, limit_s: float) -> None:
        """Ask for a storage machine to be emptied, and take it away once that is reported.

        :raises TimeoutError: if that takes longer.
        """
        self.store.put("retirements", node.name, {"duration-s": limit_s})
        self.record.add("retirement_asked_for", node=node.name)
        for _ in range(int(limit_s / POLL_S)):
            found = self.store.objects["retirements"][node.name]
            if (found["status"] or {}).get("state") == "completed":
                self.record.add("retirement_completed", node=node.name, members=self.members())
                node.end()
                return
            await asyncio.sleep(POLL_S)
        raise TimeoutError(f"{node.name} was not emptied")

    async def wait_ready(self, limit_s: float) -> None:
        """Wait until the ledger has three members and every gateway is ready.

        :raises TimeoutError: if that takes longer.
        """
        for _ in range(int(limit_s / POLL_S)):
            if await self._is_up():
                break
            await asyncio.sleep(POLL_S)
        else:
            raise TimeoutError("the deployment is not ready")
        self.record.add("ready", members=self.members())

    async def _is_up(self) -> bool:
        if len(self.members()) < min(3, len(self.ledgers)):
            return False
        return all([await self.get_ready(gateway) == 200 for gateway in self.gateways])

    def members(self) -> list[str]:
        """Return the members of the ledger, as the store has them."""
        stored = self.store.objects.get("ledger", {}).get("members")
        return [] if stored is None else [one["node"] for one in stored["specification"]["members"]]

    async def get_ready(self, gateway: Process) -> int:
        """Ask as the balancer does."""
        try:
            async with asyncio.timeout(1.0):
                answer = await exchange(gateway.ready, "GET", "/api/readiness", {}, b"")
                return answer.status
        except (OSError, TimeoutError):
            return 0

    def new_id(self) -> str:
        """Return an id for one client attempt."""
        self._next += 1
        return f"{random.getrandbits(48):012x}{self._next:04x}"

    async def call(
        self,
        gateway: Process,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        deadline_ms: int = 3000,
        headers: dict[str, str] | None = None,
    ) -> tuple[str, Answer]:
        """Send one client attempt on a connection of its own; return its id and the answer."""
        request = self.new_id()
        sent = {
            "Host": "ficu95.example",
            "Bramleylead-Request-Id": request,
            "Bramleylead-Deadline-Ms": str(deadline_ms),
            **(headers or {}),
        }
        self.record.add(
            "client_sent",
            request=request,
            gateway=gateway.name,
            method=method,
            target=target,
            **(headers or {}),
        )
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                answer = await exchange(gateway.front, method, target, sent, body)
        except (OSError, TimeoutError, EOFError, asyncio.IncompleteReadError) as error:
            self.record.add("client_got_none", request=request, reason=repr(error))
            return request, Answer(0, {}, b"")
        self.record.add(
            "client_got",
            request=request,
            status=answer.status,
            stamp=answer.headers.get("bramleylead-server-stamp"),
            body=answer.body[:160],
        )
        return request, answer

    def close(self) -> None:
        """End every process that was started, and remove the temporary folder."""
        for process in [*self.gateways, *self.ledgers]:
            process.end()
        for replica in self.replicas.values():
            replica.server.close()
        self.store.server.close()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


async def exchange(
    address: str, method: str, target: str, headers: dict[str, str], body: bytes
) -> Answer:
    """Send one request on a new connection, and read the whole response."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in {"Host": address, **headers}.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        first, received = await read_head(reader)
        return Answer(int(first[1]), received, await read_body(reader, received))
    finally:
        writer.transport.abort()


def plain_route(name: str, prefix: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of a plain service."""
    return {
        "name": name,
        "host": "ficu95.example",
        "path-prefix": prefix,
        "kind": kind,
        "timeout-ms": 3000,
        "target-latency-ms": 400,
        "priority": 2,
        "service": service,
        **more,
    }


def model_route(name: str, prefix: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a streaming route."""
    return {
        **plain_route(name, prefix, "streaming", service),
        "target-latency-ms": 250,
        "priority": 0,
        "attempts": 2,
        "retained": False,
        "retention-s": 60.0,
        "sticky": True,
        "resumable": False,
        "target-gap-ms": 400,
        **more,
    }


def plain_service(name: str) -> dict[str, Any]:
    """Return a plain service."""
    return {"name": name, "health-path": "/health", "max-connections": 96, "protocol": "h1"}


def model_service(name: str, event_tokens: int = 23) -> dict[str, Any]:
    """Return a model service."""
    engine = {
        "slots": 12,
        "kv-cache-tokens": 377056,
        "kv-token-bytes": 18432,
        "event-tokens": event_tokens,
        "most": 12,
        "models": [{"name": "m"}],
    }
    return {**plain_service(name), "max-connections": 150, "engine": engine}


def configuration(version: int, routes: list[Any], services: list[Any]) -> dict[str, Any]:
    """Return a configuration."""
    return {"version": version, "routes": routes, "services": services, "limits": LIMITS}


def run_case(
    folder: Path, body: Callable[[Record, bool], Awaitable[bool]], *, limit_s: float = 110.0
) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add("case", folder=folder.name, trouble=trouble)

    async def limited() -> bool:
        running = asyncio.current_task()
        assert running is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, running.cancel)
        async with asyncio.timeout(limit_s):
            return await body(record, trouble)

    try:
        broken = asyncio.run(limited())
    except (Exception, asyncio.CancelledError) as error:
        record.add("could_not_run", reason=f"{type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        sys.exit(2)
    record.add("result", broken=broken)
    print("the rule was broken" if broken else "the rule held")
    sys.exit(1 if broken else 0)


def _free_ports() -> list[int]:
    """Return ports that are free: front, ready, first of the internal ones, control, metrics."""
    held = []
    for _ in range(5):
        probe = socket.socket()
        probe.bind(("127.0.0.1", 0))
        held.append(probe)
    ports = [probe.getsockname()[1] for probe in held]
    for probe in held:
        probe.close()
    return ports


def _render(template: str, fields: dict[str, Any]) -> str:
    """Fill in the parts of the template's language that the project's templates use."""

    def find(path: str) -> Any:
        found: Any = fields
        for step in path.split("."):
            found = found[step]
        return found

    def section(match: re.Match[str]) -> str:
        items = find(match[1])
        rendered = []
        for number, item in enumerate(items):
            text = match[2].replace("{{.|json}}", json.dumps(item))
            rendered.append(text.replace("{{,}}", "," if number + 1 < len(items) else ""))
        return "".join(rendered)

    text = re.sub(r"\{\{#([\w.-]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.DOTALL)

    def value(match: re.Match[str]) -> str:
        found = find(match[1])
        return json.dumps(found) if match[2] else str(found)

    return re.sub(r"\{\{([\w.-]+)(\|json)?\}\}", value, text)
