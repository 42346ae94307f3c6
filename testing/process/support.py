"""Small stand-ins around the owner of programs: one copy of the journal, scripted endpoints."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
from result import Err
from result import Ok

from bramleylead.backends import BackendError
from bramleylead.backends import EngineChunk
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.metrics import Metrics
from bramleylead.node_settings import NodeSettings
from bramleylead.platform import MemoryStore
from bramleylead.process._parts import OwnerParts
from bramleylead.process.budgets._budget import BudgetEscrow
from bramleylead.process.calls._owner import ProgramOwner
from bramleylead.process.journal._state import PartitionState
from bramleylead.promises import Promises
from bramleylead.request import CallKind
from bramleylead.request import CallRequest
from bramleylead.request import OpenProgram
from bramleylead.scheduling import SlotGranted
from bramleylead.standins import run_virtual
from bramleylead.version import Branch
from bramleylead.version import Budget
from bramleylead.version import Config
from bramleylead.version import Endpoint
from bramleylead.version import ProgramKind
from bramleylead.version import Tool

NO_KEY = "0" * 64
SETTINGS = NodeSettings(
    node="n1",
    region="r1",
    data_centre="d1",
    peer_address="10.0.0.1:7000",
    http_address="10.0.0.1:8000",
    cluster_key="a shared key of the cluster",
    operator_key_sha256=NO_KEY,
)
CONFIG = Config(
    number=1,
    branches={
        "school": Branch(key_sha256=NO_KEY, budget="fees", program_kinds=("tutoring",)),
        "stable": Branch(key_sha256=NO_KEY, budget="fees", program_kinds=("tutoring",)),
    },
    program_kinds={
        "tutoring": ProgramKind(
            models=("m",),
            tools={
                "issue": Tool(endpoint_group="records", repeatable=False, price=10),
                "look_up": Tool(endpoint_group="records", repeatable=True, price=1),
            },
            max_turns=5,
            token_price=1000,
            max_output_tokens=50,
        )
    },
    budgets={"fees": Budget(limit=100_000)},
    endpoints={
        "e1": Endpoint(
            kind="engine", address="10.0.1.1:1", serves="m", region="r1", data_centre="d1"
        ),
        "e2": Endpoint(
            kind="engine", address="10.0.1.2:1", serves="m", region="r1", data_centre="d1"
        ),
        "s1": Endpoint(
            kind="service", address="10.0.1.3:1", serves="records", region="r1", data_centre="d1"
        ),
    },
)


class LocalLog:
    """A journal with one copy that acknowledges at once, unless told to fail."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.epoch = 1
        self.state = PartitionState()
        self.entries: list[Any] = []
        self.fail = False
        self.act = True

    async def append(self, *entries: Any) -> Any:
        await anyio.sleep(0.001)
        if self.fail:
            return Err(Failure(ErrorKind.NOT_DURABLE, "the second copy does not answer"))
        for entry in entries:
            self.entries.append(entry)
            self.state.apply(entry)
        return Ok(True)

    def has_valid_lease(self) -> bool:
        return self.act


class LocalDirectory:
    """Every partition is owned here."""

    def __init__(self) -> None:
        self.logs: dict[int, LocalLog] = {}

    def log(self, partition: int) -> LocalLog:
        return self.logs.setdefault(partition, LocalLog(partition))

    def owner_address(self, partition: int) -> str | None:
        return None

    def forget_owner(self, partition: int, address: str) -> None:
        return None

    @property
    def only(self) -> LocalLog:
        """The one partition in use."""
        (log,) = self.logs.values()
        return log


class FixedTickets:
    """A configuration that never changes."""

    def __init__(self) -> None:
        self.config = CONFIG
        self.current = True

    def is_current(self) -> bool:
        return self.current


class FirstFreeScheduler:
    """Grants the first endpoint that serves what is asked for and is not to be avoided."""

    def __init__(self, tickets: FixedTickets) -> None:
        self._tickets = tickets
        self.finished: list[Any] = []
        self.refuse = False

    @asynccontextmanager
    async def slot(self, request: Any) -> AsyncIterator[Any]:
        endpoints = self._tickets.config.endpoints
        names = [name for name, item in endpoints.items() if item.serves == request.serves]
        free = [name for name in names if name not in request.avoid] or names
        if self.refuse:
            yield Err(Failure(ErrorKind.OVERLOADED, "the queue is full", 3.0))
            return
        granted = SlotGranted(free[0], endpoints[free[0]].address, 0.0, "first free")
        yield Ok(_Slot(granted, self.finished))


class _Slot:
    def __init__(self, granted: SlotGranted, finished: list[Any]) -> None:
        self.granted = granted
        self.finish = finished.append


class ScriptedBackends:
    """Engines and services that do what a list says, one item a call, then answer well."""

    def __init__(self) -> None:
        self.engine_script: list[list[EngineChunk | BackendError | float]] = []
        self.service_script: list[Any] = []
        self.generated: list[Any] = []
        self.invoked: list[Any] = []
        self.released: list[str] = []

    def engine(self, name: str, endpoint: Any) -> ScriptedBackends:
        return self

    def service(self, name: str, endpoint: Any) -> ScriptedBackends:
        return self

    @asynccontextmanager
    async def generate(self, call: Any) -> AsyncIterator[Any]:
        self.generated.append(call)
        yield self._chunks(call)

    async def _chunks(self, call: Any) -> AsyncIterator[Any]:
        default = [EngineChunk("Hello", 1, 0, 7), EngineChunk(" there", 1, finish="stop")]
        script = self.engine_script.pop(0) if self.engine_script else default
        for item in script:
            if isinstance(item, float):
                await anyio.sleep(item)
            elif isinstance(item, BackendError):
                yield Err(item)
                return
            else:
                await anyio.sleep(0.01)
                yield Ok(item)

    async def invoke(self, call: Any, *, timeout_s: float) -> Any:
        self.invoked.append(call)
        step = self.service_script.pop(0) if self.service_script else {"done": True}
        if isinstance(step, float):
            await anyio.sleep(step)
            step = {"done": True}
        return Err(step) if isinstance(step, BackendError) else Ok(step)

    async def release(self, program: str) -> Any:
        self.released.append(program)
        return Ok(10)


class AlwaysRetry:
    """A retry budget without end."""

    def allow(self) -> bool:
        return True

    def succeeded(self) -> None:
        return None


class Bench:
    """An owner with everything around it, for one test."""

    def __init__(self) -> None:
        self.metrics = Metrics()
        self.promises = Promises(self.metrics.registry)
        self.store = MemoryStore()
        self.directory = LocalDirectory()
        self.tickets = FixedTickets()
        self.scheduler = FirstFreeScheduler(self.tickets)
        self.backends = ScriptedBackends()
        self.escrow = BudgetEscrow(
            self.store, lambda: self.tickets.config, self.promises, node="n1", partitions=48
        )
        self.parts = OwnerParts(
            settings=SETTINGS,
            directory=self.directory,
            tickets=self.tickets,
            escrow=self.escrow,
            scheduler=self.scheduler,
            backends=self.backends,
            retries=AlwaysRetry(),
            promises=self.promises,
            metrics=self.metrics,
            wall_clock=anyio.current_time,
        )
        self.owner: ProgramOwner

    async def open(self, program: str = "p1", branch: str = "school") -> Any:
        return await self.owner.open(OpenProgram(branch, program, "tutoring"))

    async def call(self, **changes: Any) -> Any:
        """Make a model call and return its end."""
        return (await self.items(**changes))[-1]

    async def tool(self, target: str, **changes: Any) -> Any:
        """Make a tool call and return its end."""
        return await self.call(call_kind=CallKind.TOOL, target=target, messages=(), **changes)

    async def items(self, **changes: Any) -> list[Any]:
        request = CallRequest(
            branch="school",
            program="p1",
            number=0,
            incarnation=0,
            key="",
            call_kind=CallKind.MODEL,
            target="m",
            messages=(("user", "Hi"),),
            whole_history=False,
            arguments={},
            max_tokens=20,
            deadline_s=60.0,
        )._replace(**changes)
        return [item async for item in self.owner.call(request)]


def run_with_owner(body: Callable[[Bench], Awaitable[Any]], *, seed: int = 1) -> Any:
    """Run a test body with an owner under virtual time."""

    async def main() -> Any:
        bench = Bench()
        async with anyio.create_task_group() as tasks:
            bench.owner = ProgramOwner(bench.parts, tasks)
            result = await body(bench)
            tasks.cancel_scope.cancel()
        return result

    return run_virtual(main, seed=seed)
