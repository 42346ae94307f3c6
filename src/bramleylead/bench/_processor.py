"""``bramleylead bench processor``: processor time of a gateway and of nodes of the ledger.

Each is a process of its own, and its time is read from the kernel, on all its threads: for a start
by step, for an idle second, and for a kept turn and a plain call. Another run of the same processes
under cProfile tells in which modules the time of a turn and of a call goes.
"""

from __future__ import annotations

import os
import pstats
import re
import resource
import statistics
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple

import anyio
from absl import flags

from bramleylead.bench import Figure
from bramleylead.bench import bench
from bramleylead.bench._processor_site import BenchSite
from bramleylead.bench._processor_site import bench_site
from bramleylead.connection._http_client import HttpClient
from bramleylead.trials.site._processes import Node

MS_PER_S = 1e3
ROLES = ("gateway", "ledger")
WARM_UP = 20
SETTLE_S = 2.0
"""After the start, until the members of the ledger have found each other."""
SHOWN_MODULES = 16
START_STEPS = {
    "interpreter": "pass",
    "imports": "import bramleylead.cli._main, bramleylead.cli.commands.{role}",
    "settings": "import bramleylead.cli._main, bramleylead.cli.commands.{role}; "
    "import bramleylead.site_settings as s; s.load_settings(s.{model}, open({file!r}).read())",
}
"""Each step contains the one before."""
PROFILED = """
import cProfile, sys, time
profile = cProfile.Profile(time.process_time)
from bramleylead.cli import main
code = profile.runcall(main, sys.argv)
profile.dump_stats(sys.argv[-1].partition("=")[2] + ".profile")
sys.exit(code)
"""


class Spent(NamedTuple):
    """Processor time of the gateway and of all nodes of the ledger in a span of time."""

    wall_s: float
    gateway_s: float
    ledgers_s: float

    def without(self, idle: Spent) -> Spent:
        """Return what is left without the time that the processes spend when idle."""
        share = self.wall_s / idle.wall_s
        return Spent(
            self.wall_s,
            self.gateway_s - share * idle.gateway_s,
            self.ledgers_s - share * idle.ledgers_s,
        )


@bench("processor")
def run(arguments: list[str]) -> int:
    """Print processor times as JSON lines, and the profiles as text."""
    values = flags.FlagValues()
    flags.DEFINE_integer("turns", 300, "Kept turns and plain calls.", flag_values=values)
    flags.DEFINE_integer("idle_s", 10, "Idle seconds.", flag_values=values)
    flags.DEFINE_integer("starts", 5, "Starts of each role.", flag_values=values)
    flags.DEFINE_multi_string(
        "build", [], "Folder with package and libraries, from deploy/build.sh.", flag_values=values
    )
    flags.DEFINE_boolean("profile", False, "Only profiles, no figures.", flag_values=values)
    values(["bench processor", *arguments])
    with tempfile.TemporaryDirectory() as folder:
        measure = _print_profiles if values.profile else _print_figures
        anyio.run(measure, Path(folder), values)
    return 0


async def _print_figures(folder: Path, values: flags.FlagValues) -> None:
    ready: dict[str, list[float]] = {role: [] for role in ROLES}
    for number in range(values.starts):
        async with bench_site(_made(folder, f"start-{number}"), _builds(values)) as site:
            ready["gateway"].append(site.gateway.processor_s())
            ready["ledger"] += [node.processor_s() for node in site.ledgers]
            files = {role: _node(site, role).settings_file for role in ROLES}
            if number == 0:
                await _print_running(site, values)
    for role in ROLES:
        _print(f"start.{role}.ready", statistics.median(ready[role]))
        for step, code in START_STEPS.items():
            model = f"{role.capitalize()}Settings"
            code = code.format(role=role, model=model, file=str(files[role]))
            cost_s = statistics.median(
                _child_s(code, _builds(values)) for _ in range(values.starts)
            )
            _print(f"start.{role}.{step}", cost_s)


async def _print_running(site: BenchSite, values: flags.FlagValues) -> None:
    await site.wait_durable()
    await anyio.sleep(SETTLE_S)
    idle = await _spent(site, lambda: anyio.sleep(values.idle_s))
    _print_cost("idle_second", idle, values.idle_s)
    async with HttpClient(site.gateway.http) as client:
        for name, work in (("turn", site.turns), ("plain_call", site.plain_calls)):
            await work(client, WARM_UP)
            spent = await _spent(site, lambda work=work: work(client, values.turns))
            _print_cost(name, spent.without(idle), values.turns)
    for node in (site.gateway, site.ledgers[0]):
        print(Figure(f"memory.{node.role}", node.resident_bytes(peak=True) / 1e6, "MB").to_json())


async def _spent(site: BenchSite, work: Callable[[], Awaitable[None]]) -> Spent:
    """Return what the processes spend while some work is done."""
    started_at = anyio.current_time()
    before = [node.processor_s() for node in site.nodes]
    await work()
    *ledgers, gateway = (
        node.processor_s() - start_s for node, start_s in zip(site.nodes, before, strict=True)
    )
    return Spent(anyio.current_time() - started_at, gateway, sum(ledgers))


def _print_cost(name: str, spent: Spent, count: int) -> None:
    """Print what each unit of work costs the gateway, and all nodes of the ledger together."""
    _print(f"{name}.gateway", spent.gateway_s / count)
    _print(f"{name}.ledgers", spent.ledgers_s / count)


async def _print_profiles(folder: Path, values: flags.FlagValues) -> None:
    """Run turns, then plain calls, in deployments of their own."""
    for name in ("turn", "plain_call"):
        place = _made(folder, name)
        async with bench_site(place, _builds(values), ("-c", PROFILED)) as site:
            await site.wait_durable()
            async with HttpClient(site.gateway.http) as client:
                work = site.turns if name == "turn" else site.plain_calls
                await work(client, values.turns)
            for node in site.nodes:
                await node.stop()
        for role in ROLES:
            profile = Path(f"{_node(site, role).settings_file}.profile")
            _print_modules(f"{name}.{role}", profile, values.turns)


def _print_modules(title: str, profile: Path, count: int) -> None:
    """Print the own time of each module by unit of work, the largest first."""
    times: Counter[str] = Counter()
    for (file, _, function), entry in pstats.Stats(str(profile)).stats.items():  # type: ignore[attr-defined]
        times[_module(file, function)] += entry[2]
    print(f"{title}: own time in ms under the profiler, the start among it")
    for module, spent_s in times.most_common(SHOWN_MODULES):
        print(f"  {spent_s / count * MS_PER_S:8.3f}  {module}")


def _module(file: str, function: str) -> str:
    if file == "~":
        return function
    found = re.search(r"(?:site-packages|python3\.\d+|deps|/src|/build-[^/]+)/(.*)\.py$", file)
    return found[1] if found else file


def _child_s(code: str, builds: Sequence[Path]) -> float:
    """Return the processor time of a new interpreter that runs a program."""
    environment = {**os.environ, **({"PYTHONPATH": str(builds[0])} if builds else {})}
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run([sys.executable, "-c", code], check=True, env=environment)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return after.ru_utime - before.ru_utime + after.ru_stime - before.ru_stime


def _builds(values: flags.FlagValues) -> list[Path]:
    return [Path(build).resolve() for build in values.build]


def _made(folder: Path, name: str) -> Path:
    place = folder / name
    place.mkdir()
    return place


def _node(site: BenchSite, role: str) -> Node:
    return site.gateway if role == "gateway" else site.ledgers[0]


def _print(name: str, cost_s: float) -> None:
    print(Figure(f"processor.{name}", round(cost_s * MS_PER_S, 3), "ms").to_json(), flush=True)
