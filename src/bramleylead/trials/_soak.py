"""Virtual hours of random programs under random faults, judged by the stand-ins' ledgers."""

from __future__ import annotations

import random
import sys
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple
from typing import TextIO

import anyio

from bramleylead.promises import Violation
from bramleylead.standins import run_virtual
from bramleylead.trials._caller import Caller
from bramleylead.trials._deployments import Deployment
from bramleylead.trials._deployments import aspenhold
from bramleylead.trials._deployments import ratsakool
from bramleylead.trials._faults import FaultInjector
from bramleylead.trials._faults import FaultSettings
from bramleylead.trials._fleet import Fleet
from bramleylead.trials._fleet import running_fleet
from bramleylead.trials._judge import TicketWatch
from bramleylead.trials._judge import judge
from bramleylead.trials._observations import Observed
from bramleylead.trials._observations import ProgramEnd
from bramleylead.trials._plans import random_plan
from bramleylead.trials._plans import with_pauses

PROGRAM_GAP_S = 2.0
PROGRAMS_AT_ONCE = 60


class Profile(NamedTuple):
    """What a soak runs and how dense its faults are."""

    deployment: Callable[[], Deployment]
    faults: FaultSettings
    program_gap_s: float = PROGRAM_GAP_S


PROFILES: dict[str, Profile] = {
    "aspenhold": Profile(aspenhold, FaultSettings(at_once=3, gap_s=60.0)),
    "ratsakool": Profile(ratsakool, FaultSettings(at_once=3, gap_s=60.0)),
    "storms": Profile(aspenhold, FaultSettings(at_once=3, gap_s=15.0)),
    "calm": Profile(aspenhold, FaultSettings(at_once=1, gap_s=1e9)),
    "one-vm": Profile(
        ratsakool,
        FaultSettings(at_once=1, gap_s=60.0, kinds=("kill_vm", "pause_vm", "restart_vm")),
    ),
}


class SoakResult(NamedTuple):
    """The outcome of one soak.

    :param handler_errors: calls between nodes that failed for a fault of the program.
    """

    seed: int
    programs: int
    finished: int
    refused: int
    unknown: int
    violations: tuple[Violation, ...]
    virtual_s: float
    faults: dict[str, int]
    reasons: dict[str, int]
    handler_errors: int
    seen: tuple[Observed, ...]

    @property
    def last_line(self) -> str:
        """The line that the same seed always ends with."""
        return (
            f"seed={self.seed} programs={self.programs} finished={self.finished} "
            f"refused={self.refused} unknown={self.unknown} "
            f"violations={len(self.violations)} virtual_s={self.virtual_s:.0f}"
        )


def soak(*, seed: int, minutes: float, profile: str, pause_factor: float = 1.0) -> SoakResult:
    """Run one soak.

    :param minutes: virtual minutes in which programs start and faults come.
    :param pause_factor: on the pauses of programs between their calls.
    :raises KeyError: if there is no such profile.
    """
    chosen = PROFILES[profile]
    return run_virtual(lambda: _soak(seed, minutes * 60.0, chosen, pause_factor), seed=seed)


def print_result(result: SoakResult, profile: str, out: TextIO = sys.stdout) -> None:
    """Print what a soak did and found; the last line is :attr:`SoakResult.last_line`."""
    print(f"profile={profile} seed={result.seed} virtual_s={result.virtual_s:.0f}", file=out)
    for kind, count in sorted(result.faults.items()):
        print(f"fault {kind}: {count}", file=out)
    for reason, count in sorted(result.reasons.items()):
        print(f"not finished, {reason}: {count}", file=out)
    for violation in result.violations:
        print(f"violation {violation.promise.value}: {violation.detail}", file=out)
    if result.handler_errors:
        print(f"handler errors: {result.handler_errors}", file=out)
    print(result.last_line, file=out)


async def _soak(seed: int, duration_s: float, profile: Profile, pause_factor: float) -> SoakResult:
    rng = random.Random(f"{seed}/soak")
    seen: list[Observed] = []
    async with running_fleet(profile.deployment(), seed=seed) as fleet:
        injector = FaultInjector(fleet, profile.faults, random.Random(f"{seed}/faults"))
        async with anyio.create_task_group() as watchers:
            watchers.start_soon(TicketWatch(fleet).run)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(injector.run, duration_s)
                await _start_programs(fleet, rng, seen, duration_s, profile, pause_factor)
            await judge(fleet, seen)
            watchers.cancel_scope.cancel()
        virtual_s = anyio.current_time()
    ends = Counter(item.end for item in seen)
    return SoakResult(
        seed=seed,
        programs=len(seen),
        finished=ends[ProgramEnd.FINISHED],
        refused=ends[ProgramEnd.REFUSED],
        unknown=ends[ProgramEnd.UNKNOWN],
        violations=tuple(fleet.violations),
        virtual_s=virtual_s,
        faults=injector.counts,
        reasons=dict(Counter(item.reason.partition(":")[0] for item in seen if item.reason)),
        handler_errors=fleet.handler_errors,
        seen=tuple(seen),
    )


async def _start_programs(
    fleet: Fleet,
    rng: random.Random,
    seen: list[Observed],
    duration_s: float,
    profile: Profile,
    pause_factor: float,
) -> None:
    """Start programs at random times; return when the last has ended."""
    end = anyio.current_time() + duration_s
    limiter = anyio.Semaphore(PROGRAMS_AT_ONCE)

    async def run(caller: Caller) -> None:
        async with limiter:
            seen.append(await caller.run())

    async with anyio.create_task_group() as tasks:
        serial = 0
        while anyio.current_time() < end:
            await anyio.sleep(rng.expovariate(1 / profile.program_gap_s))
            serial += 1
            plan = with_pauses(random_plan(fleet.deployment, rng, serial), pause_factor)
            tasks.start_soon(run, Caller(fleet, plan, random.Random(rng.getrandbits(64))))
