"""Stand-ins, and the project's processes, for the cases of the second review.

The stand-ins speak what the users' PROTOCOL.md says: the platform's store, replicas, clients. The
project's own programs are started with the commands of ``deploy/system.toml``. Only the standard
library is used.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import secrets
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any
from typing import NamedTuple
from urllib.parse import parse_qs
from urllib.parse import unquote
from urllib.parse import urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
FIRST_PORT, PORTS = 15_000, 15_000
DRAIN_S = 2.5
CONFIG_APPLY_S = 2.5
STABLE_WINDOW_S = 3.0
HEARTBEAT_S = 1.2
SITE_HOST = "site.example"
EVENT_TOKENS = 23
OBJECTS = "/api/objects/"
MAX_HEAD_BYTES = 8_000_000
RUN_LIMIT_S = 110
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "recover",
    "agent",
    "stream",
    "engine",
    "platform",
]
ENDS = (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError)

Plain = dict[str, Any]
Headers = dict[str, str]
Answer = tuple[int, Any]


_taken: set[int] = set()


def free_port() -> int:
    """Return a port that is free now, below those that the system gives to connections."""
    while True:
        port = FIRST_PORT + secrets.randbelow(PORTS)
        with socket.socket() as probe, suppress(OSError):
            probe.bind((HOST, port))
            if port not in _taken:
                _taken.add(port)
                return port


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Record:
    """Writes record.txt; times are seconds since the script began."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the script began."""
        return time.monotonic() - self._began

    def line(self, *words: object) -> None:
        """Write a line."""
        print(f"{self.now():8.3f}", *words, file=self._file, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Arrived(NamedTuple):
    """A request that has arrived at a stand-in."""

    method: str
    target: str
    headers: Headers
    body: bytes
    at: float
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers] | None:
    """Return the first line and the headers of a message; nothing if the connection ends."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")
    parts = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, colon, value in parts if colon}


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Return a whole body, with a length or in chunks.

    :raises IncompleteReadError: if it is cut off.
    """
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:size]
        if not size:
            return body


class Server:
    """An HTTP/1.1 server on a free port of the loopback address."""

    async def open(self) -> None:
        """Listen."""
        self._open: set[asyncio.StreamWriter] = set()
        self.server = await asyncio.start_server(self._serve, HOST, 0, limit=MAX_HEAD_BYTES)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stop listening."""
        self.server.close()

    async def handle(self, arrived: Arrived) -> bool:
        """Answer a request; return whether the connection goes on."""
        raise NotImplementedError

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
        with suppress(*ENDS):
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                at = time.monotonic()
                arrived = Arrived(method, target, head[1], body, at, reader, writer)
                if not await self.handle(arrived):
                    break
        self._open.discard(writer)
        writer.close()


class Store(Server):
    """The platform's metadata store.

    ``lag_s`` is how old the answers to reads with ``serializable`` are: PROTOCOL.md says that such
    a read "may return data that is seconds old". All other answers are linearizable.
    """

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, Plain]] = {}
        self.lag_s = 0.0
        self.delay_s = 0.004
        self.on_write: Callable[[str], None] = lambda kind: None
        self._events: list[tuple[int, str, Plain, bool]] = []
        self._past: list[tuple[float, int, dict[str, dict[str, Plain]]]] = []
        self._revision = 1
        self._changed = asyncio.Event()
        self._silent_from = self._silent_until = -1.0
        self._waiting: dict[asyncio.StreamWriter, str] = {}

    def put(self, kind: str, name: str, value: object) -> None:
        """Write as the operator or a replica would; the return is the acknowledgement."""
        known = self.objects.get(kind, {}).get(name)
        about = known["metadata"] if known else {"name": name, "created": self._revision + 1}
        about = {**about, "finalizers": [], "deleting": False}
        status = known["status"] if known else None
        self._write(kind, {"metadata": about, "specification": value, "status": status})

    def remove(self, kind: str, name: str) -> None:
        """Remove an object; the return is the acknowledgement."""
        found = self.objects[kind].pop(name)
        self._revision += 1
        self._tell(kind, found, removed=True)

    def silence(self, for_s: float) -> None:
        """Be down without a word: what arrives meanwhile, and what waits, is never answered."""
        self._silent_from = time.monotonic()
        self._silent_until = self._silent_from + for_s

    def cut_watches(self, kind: str) -> int:
        """Cut off the watches of a kind that wait: their connections end without an answer."""
        cut = [writer for writer, waits_for in self._waiting.items() if waits_for == kind]
        for writer in cut:
            writer.close()
        return len(cut)

    async def handle(self, arrived: Arrived) -> bool:
        """Answer a call."""
        url = urlsplit(arrived.target)
        query = {name: values[-1] for name, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.removeprefix(OBJECTS).split("/")]
        answer: Answer | None
        await asyncio.sleep(self.delay_s)
        if arrived.method == "GET" and "watch" in query:
            answer = await self._watch(parts[0], query, arrived.writer)
        else:
            answer = self._answer(arrived, parts, query)
        if answer is None:
            return False
        if arrived.at < self._silent_until and time.monotonic() >= self._silent_from:
            # "A connection on which a response is lost returns nothing further."
            await arrived.reader.read()
            return False
        data = json.dumps(answer[1]).encode()
        head = f"HTTP/1.1 {answer[0]} X\r\nContent-Type: application/json\r\n"
        arrived.writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
        await arrived.writer.drain()
        return True

    def _write(self, kind: str, item: Plain) -> Plain:
        self._revision += 1
        item["metadata"] = {**item["metadata"], "revision": self._revision}
        self.objects.setdefault(kind, {})[item["metadata"]["name"]] = item
        self._tell(kind, item, removed=False)
        return item

    def _tell(self, kind: str, item: Plain, *, removed: bool) -> None:
        self._events.append((self._revision, kind, item, removed))
        copy = {each: dict(items) for each, items in self.objects.items()}
        self._past.append((time.monotonic(), self._revision, copy))
        self._changed.set()
        self._changed = asyncio.Event()

    def _as_it_was(self) -> tuple[int, dict[str, dict[str, Plain]]]:
        until = time.monotonic() - self.lag_s
        known = [entry for entry in self._past if entry[0] <= until] or self._past[:1]
        return (known[-1][1], known[-1][2]) if known else (self._revision, self.objects)

    async def _watch(
        self, kind: str, query: Headers, writer: asyncio.StreamWriter
    ) -> Answer | None:
        after = int(query["watch"])
        ends = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        self._waiting[writer] = kind
        try:
            while not writer.is_closing():
                found = [event for event in self._events if event[1] == kind and event[0] > after]
                left = ends - time.monotonic()
                if found or left <= 0:
                    events = [{"object": item, "removed": gone} for _, _, item, gone in found]
                    return 200, {"events": events, "as-of": self._revision}
                with suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), min(left, 0.05))
            return None
        finally:
            self._waiting.pop(writer, None)

    def _answer(self, arrived: Arrived, parts: list[str], query: Headers) -> Answer:
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        if arrived.method == "GET":
            return self._read(kind, name, query)
        plain = json.loads(arrived.body or b"{}")
        items = self.objects.setdefault(kind, {})
        if arrived.method == "POST":
            name = plain["metadata"]["name"]
            if name in items:
                return 409, items[name]
            self.put(kind, name, plain.get("specification"))
            return 200, items[name]
        found = items.get(name)
        if found is None:
            return 404, {}
        expected = plain.get("metadata", {}).get("revision")
        if expected is not None and expected != found["metadata"]["revision"]:
            return 409, found
        part = "status" if parts[2:] == ["status"] else "specification"
        if found[part] == plain.get(part):
            return 200, found
        written = self._write(kind, {**found, part: plain.get(part)})
        self.on_write(kind)
        return 200, written

    def _read(self, kind: str, name: str, query: Headers) -> Answer:
        revision, objects = self._revision, self.objects
        if query.get("serializable") == "1":
            revision, objects = self._as_it_was()
        items = objects.get(kind, {})
        if name:
            return (200, items[name]) if name in items else (404, {})
        after = query.get("after", "")
        listed = [item for key, item in sorted(items.items()) if key > after]
        return 200, {"items": listed, "has-more": False, "as-of": revision}


class Ran(NamedTuple):
    """A request that a replica has begun to work on."""

    at_s: float
    request: str
    body: bytes


class Replica(Server):
    """One replica; ``ran`` lists what it has begun to work on.

    :param work_s: until the answer of a plain service, and before each event of a stream.
    :param events: of each stream; 0 for a plain service.
    :param wait_s: before the first event, besides.
    """

    def __init__(
        self,
        name: str,
        service: str,
        record: Record,
        *,
        zone: str = "z1",
        work_s: float = 0.02,
        events: int = 0,
        wait_s: float = 0.0,
    ) -> None:
        self.name, self.service, self.zone, self.record = name, service, zone, record
        self.work_s, self.events, self.wait_s, self.leaving = work_s, events, wait_s, False
        self.ran: list[Ran] = []
        self._running: dict[asyncio.StreamWriter, Arrived] = {}

    @property
    def running(self) -> list[bytes]:
        """The last line of the body of each stream under way that has no event yet."""
        return [each.body.splitlines(keepends=True)[-1] for each in self._running.values()]

    def crash(self) -> None:
        """End at once: connections are reset, and new ones are refused."""
        self.close()
        for writer in list(self._open):
            reset(writer)

    def entry(self, state: str = "ready") -> Plain:
        """Return its entry in the list of replicas."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 12,
            "state": state,
            "cold-remaining-ms": 0,
            "sequence": 1,
        }

    async def handle(self, arrived: Arrived) -> bool:
        """Run a request that is meant for this replica."""
        request = arrived.headers.get("bramleylead-request-id", "")
        named = f"Bramleylead-Request-Id: {request}\r\n"
        if arrived.headers.get("bramleylead-expect-instance", self.name) != self.name:
            arrived.writer.write(f"HTTP/1.1 421 X\r\n{named}Content-Length: 0\r\n\r\n".encode())
            return True
        self.ran.append(Ran(self.record.now(), request, arrived.body))
        self.record.line("run", self.name, self.service, request, arrived.target)
        head = f"HTTP/1.1 200 OK\r\n{named}Bramleylead-Server-Stamp: stamp.{request}\r\n"
        if self.leaving:
            head += "Connection: close\r\n"
        if self.events:
            await self._stream(arrived, request, head)
        else:
            await asyncio.sleep(self.work_s)
            data = f"answer of {self.name} to {request}"
            head += f"Content-Length: {len(data)}\r\n"
            arrived.writer.write(f"{head}\r\n{data}".encode())
        await arrived.writer.drain()
        return not self.leaving

    async def _stream(self, arrived: Arrived, request: str, head: str) -> None:
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        self._running[arrived.writer] = arrived
        try:
            await asyncio.sleep(self.wait_s)
        finally:
            self._running.pop(arrived.writer, None)
        arrived.writer.write(f"{head}\r\n".encode())
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.work_s)
            part = f"id: {number}\ndata: {request}.{number}\n\n"
            arrived.writer.write(f"{len(part):x}\r\n{part}\r\n".encode())
        arrived.writer.write(b"0\r\n\r\n")


class CannotRunError(Exception):
    """The case could not be set up."""


class Process:
    """One of the project's programs, run as ``deploy/system.toml`` says."""

    def __init__(self, stage: Stage, role: str, node: str, zone: str) -> None:
        self.role, self.node = role, node
        self.http, self.ready = f"{HOST}:{free_port()}", f"{HOST}:{free_port()}"
        self._data = stage.folder / node
        peer_port = free_port()
        settings = {
            "node": node,
            "region": stage.zones[zone],
            "data_centre": zone,
            "data_centres": stage.zones,
            "host": HOST,
            "peer_ports": [peer_port, peer_port],
            "metrics_address": f"{HOST}:{free_port()}",
            "store": {"address": stage.store.address},
            "cluster_key": "key between nodes of a deployment",
            "losses": 1,
            "stop_grace_s": 8,
        }
        if role == "gateway":
            settings |= {"http_address": self.http, "ready_address": self.ready}
            settings |= {"seeds": [], "contracts": CONTRACTS}
        else:
            settings["data_folder"] = str(self._data)
        self._file = stage.folder / f"{node}.json"
        self._file.write_text(json.dumps(settings))
        self._log = stage.folder / f"{node}.log"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._words = deploy["roles"][role]["run"].split(" ")
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start it."""
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        own = {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "BRAMLEYLEAD_NODE_FILE": str(self._file),
        }
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                self._words,
                cwd=ROOT,
                env={**kept, **own},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send it a signal."""
        assert self._process is not None
        self._process.send_signal(number)

    def end(self) -> None:
        """End it at once, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()

    def wipe(self) -> None:
        """Lose the disk; the process must have ended."""
        shutil.rmtree(self._data, ignore_errors=True)


class Stage:
    """A small deployment: a store, storage machines, gateways and replicas.

    :param here: the folder of the case.
    :param zones: the region of each zone.
    """

    def __init__(self, here: Path, zones: dict[str, str]) -> None:
        self.record = Record(here / "record.txt")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.zones = zones
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self._processes: list[Process] = []
        self._servers: list[Server] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._version = 0

    async def open(self) -> None:
        """Start the store."""
        await self.store.open()
        self._servers.append(self.store)

    async def add_replica(self, replica: Replica) -> Replica:
        """Start a replica and list it."""
        await replica.open()
        self._servers.append(replica)
        self.store.put("servers", replica.name, replica.entry())
        return replica

    async def crash(self, replica: Replica, for_s: float) -> None:
        """Crash a replica; it starts again after a while, under another name.

        The entry of one that is silent is removed after three heartbeat intervals.
        """
        self.record.line("replica", replica.name, "crashes")
        replica.crash()
        self._tasks.append(asyncio.create_task(self._unlist(replica)))
        self._tasks.append(asyncio.create_task(self._restart(replica, for_s)))

    async def _unlist(self, crashed: Replica) -> None:
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.store.remove("servers", crashed.name)
        self.record.line("the entry of", crashed.name, "is removed")

    async def _restart(self, crashed: Replica, for_s: float) -> None:
        await asyncio.sleep(for_s)
        again = Replica(
            f"{crashed.name}-again",
            crashed.service,
            self.record,
            zone=crashed.zone,
            work_s=crashed.work_s,
            events=crashed.events,
            wait_s=crashed.wait_s,
        )
        await self.add_replica(again)
        self.record.line("replica", again.name, "is listed")

    def add(self, role: str, node: str, zone: str) -> Process:
        """Start a process of the project."""
        process = Process(self, role, node, zone)
        self._processes.append(process)
        process.start()
        return process

    def configure(self, routes: list[Plain], services: dict[str, bool]) -> None:
        """Write the next version of the configuration; the return is the acknowledgement.

        :param services: whether each has engines.
        """
        self._version += 3
        specification = {
            "version": self._version,
            "routes": routes,
            "services": [_service(name, has_engine=has) for name, has in services.items()],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 4194304,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
        }
        self.store.put("config", "main", specification)
        shown = {each["path-prefix"]: each["service"] for each in routes}
        self.record.line("operator: version", self._version, "acknowledged:", shown)

    async def until_ready(self, gateways: list[Process], members: int) -> None:
        """Wait until the gateways are ready and the ledger has its members.

        :raises CannotRunError: if that takes too long.
        """
        ends = time.monotonic() + 30.0
        while time.monotonic() < ends:
            listed = self.store.objects.get("ledger", {}).get("members")
            count = len(listed["specification"]["members"]) if listed else 0
            asked = [call(each.ready, "GET", "/api/readiness", {}) for each in gateways]
            statuses = [answer.status for answer in await asyncio.gather(*asked)]
            if count >= members and all(status == 200 for status in statuses):
                return
            await asyncio.sleep(0.2)
        raise CannotRunError("the deployment was not ready in time")

    def close(self) -> None:
        """End all that was started."""
        for task in self._tasks:
            task.cancel()
        for process in self._processes:
            process.end()
        for server in self._servers:
            with suppress(Exception):
                server.close()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


class Answered(NamedTuple):
    """What a client got; status 0 stands for no whole answer."""

    status: int
    headers: Headers
    body: bytes


async def call(
    address: str,
    method: str,
    target: str,
    headers: Headers,
    body: bytes = b"",
    *,
    timeout_s: float = 1.0,
) -> Answered:
    """Send one request on a new connection."""
    host, _, port = address.rpartition(":")
    lines = [f"{method} {target} HTTP/1.1", f"Host: {SITE_HOST}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port), limit=MAX_HEAD_BYTES)
            try:
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                head = await read_head(reader)
                if head is None:
                    return Answered(0, {}, b"")
                status = int(head[0].split(" ")[1])
                return Answered(status, head[1], await read_body(reader, head[1]))
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return Answered(0, {}, b"")


def route(path: str, service: str, kind: str, *, retained: bool = False) -> Plain:
    """Return a route of the configuration."""
    return {
        "name": "r" + re.sub("[^a-z0-9]", "", path),
        "host": SITE_HOST,
        "path-prefix": path,
        "kind": kind,
        "timeout-ms": 3000,
        "target-latency-ms": 250,
        "priority": 0,
        "service": service,
        "attempts": 2,
        "retained": retained,
        "retention-s": 60.0,
        "sticky": False,
        "resumable": False,
    }


def _service(name: str, *, has_engine: bool) -> Plain:
    plain: Plain = {
        "name": name,
        "health-path": "/health",
        "max-connections": 150,
        "protocol": "h1",
        "tls": False,
    }
    if has_engine:
        engine = {"slots": 12, "kv-cache-tokens": 377056, "event-tokens": EVENT_TOKENS}
        plain["engine"] = engine
    return plain


def run(here: Path, zones: dict[str, str], play: Callable[[Stage], Awaitable[bool]]) -> None:
    """Play a case and exit: 1 if it returns true (the rule was broken), 0 if not, 2 if it can't.

    A signal to stop ends all that was started, too.
    """

    async def main() -> int:
        stage = Stage(here, zones)
        playing = asyncio.current_task()
        assert playing is not None
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
        try:
            async with asyncio.timeout(RUN_LIMIT_S):
                await stage.open()
                broken = await play(stage)
            stage.record.line("RESULT:", "the rule was broken" if broken else "the rule held")
            return 1 if broken else 0
        except (Exception, asyncio.CancelledError) as error:
            stage.record.line("RESULT: could not run:", type(error).__name__, error)
            return 2
        finally:
            stage.close()

    sys.exit(asyncio.run(main()))
