"""A gateway with scripted replicas on a fake network, in virtual time."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

import anyio
from anyio.abc import ByteStream
from result import Err
from result import Ok
from result import Result

from bramleylead.connection import PeerClient
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.gateway._app import GatewayApp
from bramleylead.gateway._budgets import Budgets
from bramleylead.gateway._connection_pool import ConnectionPool
from bramleylead.gateway._crash_guard import CrashGuard
from bramleylead.gateway._customer_quotas import CustomerQuotas
from bramleylead.gateway._directory import Directory
from bramleylead.gateway._load_reporter import LoadReporter
from bramleylead.gateway._path_monitor import PathMonitor
from bramleylead.gateway._plain_calls import PlainCalls
from bramleylead.gateway._relay_server import RelayServer
from bramleylead.gateway._relays import Relays
from bramleylead.gateway._replica_choice import ReplicaChoice
from bramleylead.gateway._replica_connections import ReplicaConnections
from bramleylead.gateway._sender import Sender
from bramleylead.gateway._streams import StreamCalls
from bramleylead.gateway._turn_history import TurnHistory
from bramleylead.ledger._client import LedgerClient
from bramleylead.ledger._client import Reservation
from bramleylead.ledger._members import NO_VIEW
from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._records import KeptTurn
from bramleylead.ledger._records import Spending
from bramleylead.ledger._records import merge_spendings
from bramleylead.ledger._relay_table import RelayGateway
from bramleylead.placement._crash_table import CrashEvidence
from bramleylead.placement._crash_table import CrashTable
from bramleylead.placement._fleet_table import NO_FLEET_LOAD
from bramleylead.placement._fleet_table import FleetLoad
from bramleylead.placement._rate_limits import RateLimits
from bramleylead.placement._replica_paths import ReplicaPaths
from bramleylead.placement._replica_selector import ReplicaSelector
from bramleylead.platform._types import CallKind
from bramleylead.platform._types import Configuration
from bramleylead.platform._types import EngineSpec
from bramleylead.platform._types import Limits
from bramleylead.platform._types import Replica
from bramleylead.platform._types import Route
from bramleylead.platform._types import Service
from bramleylead.platform._types import Share
from bramleylead.standins import FakeNetwork
from bramleylead.standins import virtual_random
from testing.asgi_client import RawRequest
from testing.asgi_client import send
from testing.ledger._fleet import KEY

REQUEST_ID_HEADER = "bramleylead-request-id"
HOST = "site.example"
GATEWAY_IP = "10.0.0.1"
EVENT_TOKENS = 10
RELAY_PORT = 81


class ReceivedRequest(NamedTuple):
    """A request as received by a replica; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        return self.headers[REQUEST_ID_HEADER]


Script = Callable[[ReceivedRequest, ByteStream], Awaitable[None]]


class FakeReplica:
    """Answers requests by a script, and records them."""

    def __init__(self, name: str, script: Script) -> None:
        self.name = name
        self.script = script
        self.received: list[ReceivedRequest] = []
        self.connections = 0
        self.closed_connections = 0

    async def serve(self, stream: ByteStream) -> None:
        self.connections += 1
        try:
            async with stream:
                while True:
                    received = await _read_request(stream)
                    self.received.append(received)
                    await self.script(received, stream)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.closed_connections += 1


async def _read_request(stream: ByteStream) -> ReceivedRequest:
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    request_head, _, body = data.partition(b"\r\n\r\n")
    lines = request_head.decode().split("\r\n")
    method, target, _ = lines[0].split(" ")
    pairs = [line.split(": ", 1) for line in lines[1:]]
    headers = {name.lower(): value for name, value in pairs}
    while len(body) < int(headers.get("content-length", "0")):
        body += await stream.receive()
    return ReceivedRequest(method, target, headers, body)


def response_head(
    received: ReceivedRequest, status: str = "200 OK", *extra_headers: str, request: str = ""
) -> bytes:
    """Return the head of a response."""
    lines = [
        f"HTTP/1.1 {status}",
        f"Bramleylead-Request-Id: {request or received.id}",
        f"Bramleylead-Server-Stamp: stamp-{request or received.id}",
        *extra_headers,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def full_response(
    received: ReceivedRequest,
    body: bytes,
    status: str = "200 OK",
    *extra_headers: str,
    request: str = "",
) -> bytes:
    """Return a complete response with a Content-Length."""
    return (
        response_head(
            received, status, f"Content-Length: {len(body)}", *extra_headers, request=request
        )
        + body
    )


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event(number: int) -> bytes:
    return f"id: {number}\ndata: word{number}\n\n".encode()


def event_stream(received: ReceivedRequest, *numbers: int, end: bool = True) -> bytes:
    """Return a chunked response with a stream of events."""
    parts = [
        response_head(
            received, "200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"
        )
    ]
    parts += [chunk(event(number)) for number in numbers]
    return b"".join(parts) + (b"0\r\n\r\n" if end else b"")


def respond_with(
    make_response: Callable[[ReceivedRequest], bytes], *, then_close: bool = False
) -> Script:
    """Return a script that answers each request with the returned bytes."""

    async def script(received: ReceivedRequest, stream: ByteStream) -> None:
        if data := make_response(received):
            await stream.send(data)
        if then_close:
            await stream.aclose()

    return script


class FakeLedger:
    """The ledger in memory, which a test can make unavailable."""

    def __init__(self) -> None:
        self.turns: dict[str, KeptTurn] = {}
        self.spendings: list[Spending] = []
        self.unavailable = False
        self.fleet_load: FleetLoad = NO_FLEET_LOAD

    async def reserve(
        self,
        spending: Spending,
        *,
        prompt_parts: tuple[str, ...] = (),
        crashes: tuple[CrashEvidence, ...] = (),
    ) -> Result[Reservation, Failure]:
        if self.unavailable:
            return self._failure()
        self.spendings.append(spending)
        spendings = [item for item in self.spendings if item.program == spending.program]
        return Ok(Reservation(merge_spendings([spendings]), self.fleet_load))

    async def report_crash(self, evidence: tuple[CrashEvidence, ...]) -> list[CrashEvidence]:
        """Return nothing: there is no other gateway."""
        return []

    async def settle(self, spending: Spending) -> Result[None, Failure]:
        if self.unavailable:
            return self._failure()
        self.spendings.append(spending)
        return Ok(None)

    async def keep(self, turn: KeptTurn) -> Result[None, Failure]:
        if self.unavailable:
            return self._failure()
        self.turns[turn.turn] = turn
        self.spendings.append(Spending(turn.program, turn.entry, turn.tokens, True))
        return Ok(None)

    async def find_chain(self, name: str) -> Result[list[KeptTurn], Failure]:
        if self.unavailable:
            return self._failure()
        chain: list[KeptTurn] = []
        while name:
            if name not in self.turns:
                return Err(Failure(ErrorKind.UNKNOWN_TURN, f"turn {name} is not stored"))
            chain.append(self.turns[name])
            name = self.turns[name].previous
        return Ok(chain[::-1])

    def spendings_of(self, program: str) -> dict[str, Spending]:
        """Return the spendings of a program's turns, by request id."""
        merged = merge_spendings([[item for item in self.spendings if item.program == program]])
        return {entry.partition(".")[0]: spending for entry, spending in merged.items()}

    def _failure(self) -> Err[Failure]:
        return Err(Failure(ErrorKind.NOT_DURABLE, "the ledger is unavailable", 0.3))


class NoMembers:
    """A ledger without members, which knows no other gateway."""

    view = NO_VIEW

    def members_by_distance(self) -> list[LedgerMember]:
        return []

    async def refresh(self) -> None:
        pass


class ReceivedResponse(NamedTuple):
    """A response as received by a caller; ``complete`` is false if it was cut off."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


class Site:
    """A gateway with its replicas.

    :param host: the gateway's host.
    :param ledger: the client of a ledger to use instead of one in memory.
    :param peers: calls other gateways; without it there are none.
    :param first_turn: which of several equal replicas is chosen first.
    """

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        *,
        network: FakeNetwork | None = None,
        host: str = GATEWAY_IP,
        ledger: LedgerClient | None = None,
        peers: PeerClient | None = None,
        first_turn: int = 0,
    ) -> None:
        rng = virtual_random(f"gateway {host}")
        self.host = host
        self.network = network or FakeNetwork({GATEWAY_IP: ("r", "d")})
        self.directory = Directory()
        self.use: dict[str, float] = {}
        self.ledger = ledger or FakeLedger()
        self.replicas: dict[str, FakeReplica] = {}
        self.entries: dict[str, Replica] = {}
        self.selector = ReplicaSelector(first_turn=first_turn)
        self.limits = RateLimits(rng)
        self.limits.record_share(1.0)
        self._tasks = tasks
        view = self.network.view(host)
        self.paths = ReplicaPaths()
        self.pool = ConnectionPool(view, id_header=REQUEST_ID_HEADER, paths=self.paths)
        peers = peers or PeerClient(view, node=host, cluster_key=KEY)
        self.quotas = CustomerQuotas(
            peers,
            ledger or NoMembers(),
            gateway=host,
            has_quotas=self.directory.may_have_quotas,
            tasks=tasks,
            rng=rng,
        )
        relays = Relays(
            peers,
            ledger or NoMembers(),
            node=host,
            data_centre="d",
            regions={"d": "r"},
            rng=rng,
        )
        self.connections = ReplicaConnections(self.pool, self.paths, relays)
        self.relay_server = RelayServer(
            self.directory,
            self.pool,
            self.paths,
            offer=RelayGateway(host, f"{host}:{RELAY_PORT}", "d"),
            is_stopping=lambda: self.app.closing,
        )
        self.path_monitor = PathMonitor(
            self.directory,
            self.pool,
            self.paths,
            relays,
            on_lost=self.selector.health.forget_failures,
        )
        self.crashes = CrashTable(host)
        guard = CrashGuard(
            self.directory, self.connections, self.crashes, report=self.ledger.report_crash
        )
        choice = ReplicaChoice(
            self.directory,
            self.selector,
            self.limits,
            guard,
            data_centre="d",
            regions={"d": "r"},
            rng=rng,
        )
        reporter = LoadReporter(host, self.selector)
        sender = Sender(
            self.directory,
            self.connections,
            self.selector,
            reporter,
            self.limits,
            choice,
            self.paths,
            rng,
            use_of=lambda customer: self.use.get(customer.name, 0.0),
        )
        budgets = Budgets(self.ledger, tasks)  # type: ignore[arg-type]
        history = TurnHistory(self.ledger)  # type: ignore[arg-type]
        streams = StreamCalls(sender, budgets, history, guard, self.quotas)
        plain = PlainCalls(sender, guard, self.quotas)
        self.app = GatewayApp(self.directory, plain, streams)

    async def add_replica(
        self, name: str, script: Script, *, service: str = "svc", version: str = "v1"
    ) -> FakeReplica:
        """Start a replica and add it to the list of replicas.

        :param version: of its software.
        """
        replica = FakeReplica(name, script)
        ip = f"10.0.1.{len(self.replicas) + 1}"
        self.network.place(ip, "r", "d")
        address = f"{ip}:80"
        view = self.network.view(ip)
        await self._tasks.start(
            lambda task_status: view.serve(address, replica.serve, task_status=task_status)
        )
        self.replicas[name] = replica
        self.entries[name] = Replica(name, service, address, "d", False, 4, version)
        self.directory.put_replica(self.entries[name])
        return replica

    async def request(
        self,
        path: str,
        *,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        disconnect_after_s: float | None = None,
    ) -> ReceivedResponse:
        """Send a request to the gateway and return its response."""
        all_headers = {
            "host": HOST,
            REQUEST_ID_HEADER: "q1",
            "bramleylead-deadline-ms": "3000",
            **(headers or {}),
        }
        method = "POST" if body else "GET"
        request = RawRequest(method, path, tuple(all_headers.items()), body, disconnect_after_s)
        response = await send(self.app, request)
        return ReceivedResponse(
            response.status, dict(response.headers_by_name), response.body, response.whole
        )


def route(kind: CallKind, **changes: object) -> Route:
    """Return a route to the replicas of ``svc`` at ``/KIND/``."""
    default_route = Route(
        name=kind.value,
        host=HOST,
        path_prefix=f"/{kind.value}/",
        kind=kind,
        shares=(Share("svc", 1.0),),
        max_attempts=2,
        timeout_s=2.0,
        target_latency_s=0.3,
        priority=0,
        retains_turns=False,
        turn_retention_s=60.0,
        resumable=False,
    )
    return default_route._replace(**changes)


def configuration(*routes: Route, version: int = 1) -> Configuration:
    engine = EngineSpec(4, 100_000, EVENT_TOKENS)
    services = {"svc": Service("svc", 100, engine)}
    return Configuration(version, routes, services, Limits(16_384, 1_000_000, 3.0, 15.0))


@asynccontextmanager
async def site_with(*routes: Route) -> AsyncIterator[Site]:
    """Run a gateway with a configuration of these routes."""
    async with anyio.create_task_group() as tasks:
        site = Site(tasks)
        site.directory.apply_configuration(configuration(*routes), source="test")
        yield site
        tasks.cancel_scope.cancel()
