"""Runs a deployment of real processes under a seed's faults, and judges it while it runs."""

from __future__ import annotations

import random
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator
from contextlib import AsyncExitStack
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple
from typing import TextIO
from typing import final

import anyio
import structlog

import bramleylead
import bramleylead.trials.site._process_faults  # registers its faults
from bramleylead.connection._http_client import HttpClient
from bramleylead.platform import _names as names
from bramleylead.platform._encode import write_configuration
from bramleylead.platform._encode import write_replica
from bramleylead.platform._types import CallKind
from bramleylead.platform._types import Configuration
from bramleylead.platform._types import EngineSpec
from bramleylead.platform._types import Limits
from bramleylead.platform._types import Route
from bramleylead.platform._types import Service
from bramleylead.platform._types import Share
from bramleylead.standins._platform_store import PlatformStoreStandIn
from bramleylead.standins._serving import serve_app
from bramleylead.trials.site._callers import HOST_NAME
from bramleylead.trials.site._callers import Callers
from bramleylead.trials.site._faults import UNEASY_S
from bramleylead.trials.site._faults import Faults
from bramleylead.trials.site._judge import EVENT_TOKENS
from bramleylead.trials.site._judge import Finding
from bramleylead.trials.site._judge import Judge
from bramleylead.trials.site._plan import ALL_KINDS
from bramleylead.trials.site._plan import Fault
from bramleylead.trials.site._plan import FaultKind
from bramleylead.trials.site._plan import draw_plan
from bramleylead.trials.site._processes import Node
from bramleylead.trials.site._replica import SoakReplica

GATEWAYS = 2
LEDGERS = 3
MODELS = 3
PLAIN = 2
CALLERS = 6
LOSSES = 1
START_PATIENCE_S = 40.0
BALANCER_S = 0.3
PACE_S = 0.1
WATCH_INTERVAL_S = 0.1
STALL_S = 0.4
REST_S = 8.0
"""After the last fault traffic goes on this long: what was kept must be found then."""
MODEL_SERVICE = "models"
PLAIN_SERVICES = ("plain-0", "plain-1")

log = structlog.get_logger()


class SoakSettings(NamedTuple):
    """What a soak runs: its seed, the seconds in which faults come, and their mean distance.

    :param other_build: a folder that holds the package of another version, in which part of the
        processes start; empty for none.
    :param kinds: the faults that may come.
    """

    seed: int
    length_s: float
    gap_s: float
    other_build: str = ""
    kinds: tuple[FaultKind, ...] = ALL_KINDS

    @property
    def builds(self) -> tuple[Path, ...]:
        """The folders whose package a process may run; none if all run that of this process."""
        if not self.other_build:
            return ()
        return (Path(bramleylead.__file__).parent.parent, Path(self.other_build).resolve())


class SoakReport(NamedTuple):
    """What became of a soak."""

    settings: SoakSettings
    plan: tuple[Fault, ...]
    findings: tuple[Finding, ...]
    programs: int
    turns: int
    answers: dict[int, int]

    @property
    def last_line(self) -> str:
        """The summary; counts of programs and answers depend on the machine, findings must not."""
        kinds = Counter(fault.kind.value for fault in self.plan)
        return (
            f"seed={self.settings.seed} faults={len(self.plan)} of {len(kinds)} kinds "
            f"programs={self.programs} turns={self.turns} findings={len(self.findings)}"
        )


@final
class Site:
    """The processes of a deployment, and the stand-ins around them."""

    def __init__(self, settings: SoakSettings, folder: Path) -> None:
        rng = random.Random(f"{settings.seed}/site")
        self.judge = Judge()
        self.store = PlatformStoreStandIn()

        def make_node(name: str, role: str) -> Node:
            starts = random.Random(f"{settings.seed}/starts/{name}")
            return Node(name, role, folder, starts, losses=LOSSES, builds=settings.builds)

        self.gateways = [make_node(f"gateway-{i}", "gateway") for i in range(GATEWAYS)]
        self.ledgers = [make_node(f"ledger-{i}", "ledger") for i in range(LEDGERS)]
        self.replicas = [
            SoakReplica(f"model-{i}", MODEL_SERVICE, self.judge, rng) for i in range(MODELS)
        ]
        for service in PLAIN_SERVICES:
            self.replicas += [
                SoakReplica(f"{service}-{i}", service, self.judge, rng) for i in range(PLAIN)
            ]
        self._version = 0
        self._taking: set[str] = set()
        self._all_ready = anyio.Event()

    async def open(self, stack: AsyncExitStack) -> None:
        """Start everything and wait until the gateways take callers."""
        address = await stack.enter_async_context(serve_app(self.store.app, "127.0.0.1:0"))
        for replica in self.replicas:
            await replica.start(stack)
            self.list(replica, leaving=False)
        self.configure()
        for node in [*self.ledgers, *self.gateways]:
            await node.open(address, stack)
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        tasks.start_soon(self._watch_own_pace)
        for node in self.gateways:
            tasks.start_soon(self._watch_ready, node)
        for node in [*self.ledgers, *self.gateways]:
            tasks.start_soon(self._watch_end, node)
        with anyio.fail_after(START_PATIENCE_S):
            await self._all_ready.wait()

    async def expect_ready(self) -> None:
        """Wait until all gateways take callers again; one that does not is a finding."""
        with anyio.move_on_after(START_PATIENCE_S):
            while True:
                if len(self._taking) == len(self.gateways):
                    return
                await anyio.sleep(WATCH_INTERVAL_S)
        for node in self.gateways:
            if node.name not in self._taking:
                self.judge.unready(node.name)

    @contextmanager
    def odd_entry(self, name: str, specification: object) -> Iterator[None]:
        """List an entry of another writer within this context."""
        self.store.put(names.REPLICA_KIND, name, specification)
        yield
        self.store.remove(names.REPLICA_KIND, name)

    def taking(self) -> list[Node]:
        """Return the gateways that new callers are sent to; all of them if none is ready."""
        ready = [node for node in self.gateways if node.name in self._taking]
        return ready or [node for node in self.gateways if node.is_running]

    def list(self, replica: SoakReplica, *, leaving: bool) -> None:
        """Write a replica's entry."""
        entry = write_replica(replica.entry(leaving=leaving))
        self.store.put(names.REPLICA_KIND, replica.name, entry)

    def unlist(self, replica: SoakReplica) -> None:
        """Remove a replica's entry."""
        self.store.remove(names.REPLICA_KIND, replica.name)

    def configure(self) -> None:
        """Move the plain routes to the other service."""
        self._version += 1
        service = PLAIN_SERVICES[self._version % len(PLAIN_SERVICES)]
        made = write_configuration(_configuration(self._version, service))
        self.store.put(names.CONFIGURATION_KIND, names.CONFIGURATION_NAME, made)
        self.judge.moved(service)

    async def _watch_own_pace(self) -> None:
        """Hold no bound on time against gateways of a machine that itself stands still."""
        while True:
            started_at = anyio.current_time()
            await anyio.sleep(PACE_S)
            now = anyio.current_time()
            if now - started_at > PACE_S + STALL_S:
                log.warning("machine_stalled", for_s=round(now - started_at, 2))
                self.judge.unsettle([node.name for node in self.gateways], now + UNEASY_S)

    async def _watch_end(self, node: Node) -> None:
        """Start a process again that ended by itself, as the platform does; that is a finding."""
        while True:
            await anyio.sleep(WATCH_INTERVAL_S)
            code = node.ended_by_itself
            if code is not None:
                self.judge.ended(node.name, f"ended by itself, code {code}: {node.last_lines()}")
                self.judge.restarted(node.name)
                self.judge.unsettle([each.name for each in self.gateways], anyio.current_time())
                await node.start()

    async def _watch_ready(self, node: Node) -> None:
        """Ask a gateway as the balancer does: two misses take it out, one answer brings it back."""
        misses = 0
        async with HttpClient(node.ready) as client:
            while True:
                answer = await client.request("GET", names.READY_PATH, timeout_s=BALANCER_S)
                is_ready = answer.is_ok() and answer.ok_value.status == 200
                misses = 0 if is_ready else misses + 1
                if is_ready:
                    self._taking.add(node.name)
                    if len(self._taking) == len(self.gateways):
                        self._all_ready.set()
                elif misses >= 2:
                    self._taking.discard(node.name)
                await anyio.sleep(BALANCER_S)


async def soak_site(settings: SoakSettings) -> SoakReport:
    """Run one soak and return what became of it."""
    plan = draw_plan(
        settings.seed, length_s=settings.length_s, gap_s=settings.gap_s, kinds=settings.kinds
    )
    async with AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        site = Site(settings, Path(folder))
        await site.open(stack)
        callers = Callers(site.judge, site.taking, random.Random(f"{settings.seed}/callers"))
        async with anyio.create_task_group() as tasks:
            for _ in range(CALLERS):
                tasks.start_soon(callers.run)
            await Faults(site).play(plan)
            await site.expect_ready()
            await anyio.sleep(REST_S)
            tasks.cancel_scope.cancel()
        return SoakReport(
            settings=settings,
            plan=tuple(plan),
            findings=tuple(site.judge.findings),
            programs=callers.programs,
            turns=callers.turns,
            answers=dict(site.judge.answers),
        )


def print_report(report: SoakReport, out: TextIO = sys.stdout) -> None:
    """Print plan, answers and findings; the last line is :attr:`SoakReport.last_line`."""
    for fault in report.plan:
        words = f"{fault.kind.value} {fault.target} for {fault.for_s} s"
        print(f"at {fault.at_s:.1f} s: {words}", file=out)
    for status, count in sorted(report.answers.items()):
        print(f"answers {status or 'cut off'}: {count}", file=out)
    for finding in report.findings:
        print(f"broken, {finding.promise}: at {finding.at_s} s: {finding.detail}", file=out)
    print(report.last_line, file=out)


def _configuration(version: int, plain_service: str) -> Configuration:
    engine = EngineSpec(slots=8, cache_tokens=100_000, tokens_per_event=EVENT_TOKENS)
    services = {MODEL_SERVICE: Service(MODEL_SERVICE, 100, engine)}
    services |= {name: Service(name, 100, None) for name in PLAIN_SERVICES}
    routes = (
        _route("turns", CallKind.STREAM, MODEL_SERVICE, retains_turns=True),
        _route("safe", CallKind.SAFE, plain_service, retains_turns=False),
        _route("unsafe", CallKind.UNSAFE, plain_service, retains_turns=False),
    )
    limits = Limits(
        max_header_bytes=16_384, max_body_bytes=1_000_000, header_timeout_s=3.0, idle_timeout_s=15.0
    )
    return Configuration(version, routes, services, limits)


def _route(name: str, kind: CallKind, service: str, *, retains_turns: bool) -> Route:
    return Route(
        name=name,
        host=HOST_NAME,
        path_prefix=f"/{name}/",
        kind=kind,
        shares=(Share(service, 1.0),),
        max_attempts=2,
        timeout_s=3.0,
        target_latency_s=0.5,
        priority=0,
        retains_turns=retains_turns,
        turn_retention_s=60.0,
        resumable=False,
    )
