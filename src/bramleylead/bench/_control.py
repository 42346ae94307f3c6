"""``bramleylead bench control``: what control costs a node, and how fast a ticket spreads.

Bytes count the payload of the streams and 40 bytes of IP and TCP header for each send. Processor
time is that of the whole process by node and virtual second, so the fake network's own cost is in
it. A ticket's spread is timed from its submission; watches of the store are 0.1 s late. Memory is
what each further node adds to the process, on top of the size of a process that has loaded the
code. The baseline is the target of a node or of the fleet.
"""

from __future__ import annotations

import json
import random
import statistics
import time
from pathlib import Path
from typing import Any
from typing import NamedTuple

import anyio
import structlog
from absl import flags

from bramleylead.bench import bench
from bramleylead.bench._control_fleet import ControlFleet
from bramleylead.bench._control_fleet import Running
from bramleylead.bench._control_fleet import ticket_body
from bramleylead.process.tickets._relay import relay_names
from bramleylead.standins import run_virtual

HEADER_BYTES = 40
PAGE_BYTES = 4096
BYTES_A_MB = 1_000_000
AGREE_LIMIT_S = 300.0
CHECK_S = 0.5
WARM_UP_S = 60.0
TARGET_NODES = 410
DEAD_SHARE = 0.05
ROUNDS = 3
TICKETS_A_ROUND = 3
SPREAD_LIMIT_S = 30.0

TARGETS = {
    "control.bytes_per_s": 6000.0,
    "control.messages_per_s": None,
    "control.cpu_share": 0.013,
    "control.memory_mb": 128.0,
    "control.store_reads_per_s": 2000.0,
    "control.store_writes_per_s": 300.0,
    "control.join_s": None,
    "control.ticket_spread_p50_s": 3.0,
    "control.ticket_spread_max_s": 3.0,
}
UNITS = {
    "control.bytes_per_s": "bytes/s a node",
    "control.messages_per_s": "sends/s a node",
    "control.cpu_share": "cores a node",
    "control.memory_mb": "MB a process",
    "control.store_reads_per_s": "calls/s",
    "control.store_writes_per_s": "calls/s",
    "control.join_s": "s",
    "control.ticket_spread_p50_s": "s",
    "control.ticket_spread_max_s": "s",
}

Figures = dict[str, float]


class _Counters(NamedTuple):
    """Running totals at one moment."""

    bytes: int
    sends: int
    reads: int
    writes: int
    processor_s: float
    virtual_s: float


@bench("control")
def main(argv: list[str]) -> int:
    """Measure control traffic and ticket spread; return an exit code."""
    values = _parse_flags(argv)
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    rows: dict[int, Figures] = {}
    base_bytes = _resident_bytes()
    for count in [int(text) for text in values.nodes]:
        rows[count] = _measure(count, values, base_bytes)
        for name, value in rows[count].items():
            _print_row(name, value, count, values.relay)
    if TARGET_NODES not in rows and len(rows) > 1:
        for name, value in _extrapolate(rows).items():
            _print_row(name, value, TARGET_NODES, values.relay, extrapolated=True)
    return 0


def _parse_flags(argv: list[str]) -> Any:
    values = flags.FlagValues()
    flags.DEFINE_list("nodes", ["6", "24", "96"], "Sizes of the fleet.", flag_values=values)
    flags.DEFINE_integer("seed", 1, "Seed of the run.", flag_values=values)
    flags.DEFINE_float("seconds", 60.0, "Virtual seconds measured.", flag_values=values)
    names = relay_names()
    flags.DEFINE_enum("relay", "tree", names, "Shape of the relay.", flag_values=values)
    values(["control", *argv])
    return values


def _measure(count: int, values: Any, base_bytes: int) -> Figures:
    async def body() -> Figures:
        before_bytes = _resident_bytes()
        fleet = ControlFleet(count, seed=values.seed, relay=values.relay)
        async with fleet.running():
            figures = {"control.join_s": await _wait_agreed(fleet)}
            await anyio.sleep(WARM_UP_S)
            before = _count(fleet)
            await anyio.sleep(values.seconds)
            figures |= _rates(before, _count(fleet), count)
            added_bytes = (_resident_bytes() - before_bytes) / count
            figures["control.memory_mb"] = (base_bytes + added_bytes) / BYTES_A_MB
            spread_s = await _measure_spread(fleet, random.Random(values.seed))
            figures["control.ticket_spread_p50_s"] = statistics.median(spread_s)
            figures["control.ticket_spread_max_s"] = max(spread_s)
            if fleet.violations():
                raise AssertionError(f"{fleet.violations()} promises broken")
        return figures

    return run_virtual(body, seed=values.seed)


async def _wait_agreed(fleet: ControlFleet) -> float:
    started = anyio.current_time()
    with anyio.fail_after(AGREE_LIMIT_S):
        while not fleet.agreed():  # noqa: ASYNC110 - the condition has no event
            await anyio.sleep(CHECK_S)
    return anyio.current_time() - started


def _count(fleet: ControlFleet) -> _Counters:
    return _Counters(
        sum(fleet.network.bytes_by_host.values()),
        sum(fleet.network.sends_by_host.values()),
        fleet.store.reads,
        fleet.store.writes,
        time.process_time(),
        anyio.current_time(),
    )


def _rates(before: _Counters, after: _Counters, count: int) -> Figures:
    virtual_s = after.virtual_s - before.virtual_s
    sends = after.sends - before.sends
    sent_bytes = after.bytes - before.bytes + HEADER_BYTES * sends
    return {
        "control.bytes_per_s": sent_bytes / virtual_s / count,
        "control.messages_per_s": sends / virtual_s / count,
        "control.cpu_share": (after.processor_s - before.processor_s) / virtual_s / count,
        "control.store_reads_per_s": (after.reads - before.reads) / virtual_s,
        "control.store_writes_per_s": (after.writes - before.writes) / virtual_s,
    }


async def _measure_spread(fleet: ControlFleet, rng: random.Random) -> list[float]:
    """Kill some nodes, submit tickets at once, and time each node that lives."""
    spread_s: list[float] = []
    number = 0
    for _ in range(ROUNDS):
        dead = max(1, round(DEAD_SHARE * fleet.count))
        for node in rng.sample(sorted(fleet.nodes), dead):
            fleet.kill(node)
        for _ in range(TICKETS_A_ROUND):
            number += 1
            spread_s += await _time_ticket(fleet, number, rng)
    return spread_s


async def _time_ticket(fleet: ControlFleet, number: int, rng: random.Random) -> list[float]:
    nodes = list(fleet.nodes.values())
    times: list[float] = []

    async def wait(node: Running, started: float) -> None:
        await node.log.wait_changed(number - 1)
        times.append(anyio.current_time() - started)

    submitter = rng.choice(nodes)
    started = anyio.current_time()
    with anyio.fail_after(SPREAD_LIMIT_S):
        async with anyio.create_task_group() as tasks:
            for node in nodes:
                tasks.start_soon(wait, node, started)
            accepted = await submitter.desk.submit_ticket(ticket_body(number))
            if accepted.is_err():
                raise AssertionError(f"ticket {number}: {accepted.err_value.detail}")
    return times


def _resident_bytes() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


def _extrapolate(rows: dict[int, Figures]) -> Figures:
    """Continue the line through the two largest sizes."""
    small, large = sorted(rows)[-2:]
    slope_nodes = (TARGET_NODES - large) / (large - small)
    return {
        name: value + slope_nodes * (value - rows[small][name])
        for name, value in rows[large].items()
    }


def _print_row(
    name: str, value: float, nodes: int, relay: str, *, extrapolated: bool = False
) -> None:
    baseline = TARGETS[name]
    row = {
        "name": name,
        "value": round(value, 6),
        "unit": UNITS[name],
        "baseline": baseline,
        "ratio": round(value / baseline, 4) if baseline else None,
        "nodes": nodes,
        "relay": relay,
    }
    if extrapolated:
        row["extrapolated"] = True
    print(json.dumps(row), flush=True)
