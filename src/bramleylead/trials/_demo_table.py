"""What the demo prints at its end; every figure comes from the callers and the stand-ins."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import NamedTuple

from bramleylead.promises import Violation
from bramleylead.trials._demo import UserRun
from bramleylead.trials._observations import Observed
from bramleylead.trials._observations import ProgramEnd

PROGRAM_NAME = r"[\w.-]+"
MAX_EXPLAINED = 3
"""Programs of one violation whose decisions are shown."""
MAX_DECISIONS = 5


class DemoFigures(NamedTuple):
    """The last line's figures; the times are what programs waited for answers."""

    programs: int
    finished: int
    p50_s: float
    p99_s: float
    wasted_cache_tokens: int
    duplicate_effects: int
    broken_promises: int

    def line(self) -> str:
        """Return the last line."""
        return (
            f"programs={self.programs} finished={self.finished} "
            f"p50_s={self.p50_s:.2f} p99_s={self.p99_s:.2f} "
            f"wasted_cache_tokens={self.wasted_cache_tokens} "
            f"duplicate_effects={self.duplicate_effects} broken_promises={self.broken_promises}"
        )

    @property
    def good(self) -> bool:
        """Whether every program finished and no promise was broken."""
        whole = self.finished == self.programs
        return whole and not self.duplicate_effects and not self.broken_promises


def figures(runs: list[UserRun]) -> DemoFigures:
    """Add up what was seen."""
    seen = [item for run in runs for item in run.seen]
    finished = [item for item in seen if is_finished(item)]
    waits_s = [sum(item.call_s) for item in finished]
    endpoints = [run.fleet.endpoints for run in runs]
    return DemoFigures(
        programs=len(seen),
        finished=len(finished),
        p50_s=quantile(waits_s, 0.5),
        p99_s=quantile(waits_s, 0.99),
        wasted_cache_tokens=sum(item.engine_ledger.recomputed_tokens for item in endpoints),
        duplicate_effects=sum(item.service_ledger.duplicate_effects for item in endpoints),
        broken_promises=sum(len(run.fleet.violations) for run in runs),
    )


def is_finished(seen: Observed) -> bool:
    """Whether a program ran all its steps."""
    return seen.ended_s > 0 and seen.end is ProgramEnd.FINISHED


def table(runs: list[UserRun]) -> Iterator[str]:
    """Yield the lines of the table: what callers waited, by program kind and branch."""
    yield (
        f"{'kind':<11} {'branch':<14} {'programs':>8} {'finished':>8} {'calls':>6} "
        f"{'call p50 s':>10} {'call p99 s':>10} {'p50 s':>7} {'p99 s':>7}"
    )
    groups: dict[tuple[str, str], list[Observed]] = {}
    for run in runs:
        for item in run.seen:
            groups.setdefault((item.plan.kind, item.plan.branch), []).append(item)
    for (kind, branch), items in sorted(groups.items()):
        calls_s = [seconds for item in items for seconds in item.call_s]
        done = [item for item in items if is_finished(item)]
        waits_s = [sum(item.call_s) for item in done]
        yield (
            f"{kind:<11} {branch:<14} {len(items):>8} {len(done):>8} {len(calls_s):>6} "
            f"{quantile(calls_s, 0.5):>10.3f} {quantile(calls_s, 0.99):>10.3f} "
            f"{quantile(waits_s, 0.5):>7.2f} {quantile(waits_s, 0.99):>7.2f}"
        )


def troubles(runs: list[UserRun]) -> Iterator[str]:
    """Yield a line for each program that did not finish and each broken promise."""
    for run in runs:
        for item in run.seen:
            if not is_finished(item):
                reason = item.reason or "not ended in time"
                yield f"{item.plan.program}: {item.end.value}: {reason}"
        for violation in run.fleet.violations:
            yield f"broken promise {violation.promise.value}: {violation.detail}"
            yield from explanations(run, violation)
        for violation in run.fleet.node_violations:
            yield f"noticed by a node: {violation.promise.value}: {violation.detail}"


def explanations(run: UserRun, violation: Violation) -> Iterator[str]:
    """Yield the nodes' decisions on the last call of each program that a violation names."""
    named = set(re.findall(PROGRAM_NAME, violation.detail))
    concerned = [item for item in run.seen if item.plan.program in named]
    for item in concerned[:MAX_EXPLAINED]:
        program, last_call = item.plan.program, len(item.call_s)
        for name, host in sorted(run.fleet.hosts.items()):
            if host.served is None:
                continue
            known = host.served.node.explain(program, last_call)
            role = "owner" if known["owned_here"] else "not the owner"
            yield f"  {name} ({role}) on {program}/{last_call}: record {known['record']}"
            for decision in known["decisions"][-MAX_DECISIONS:]:
                yield (
                    f"    {decision['at_s']:.3f} s {decision['action']} "
                    f"{decision['endpoint']}: {decision['reason']}"
                )


def quantile(values: list[float], share: float) -> float:
    """Return the value that this share of the values does not exceed; 0 without values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0
