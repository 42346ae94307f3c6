"""Figures of the policy bench, from the results of its runs."""

from __future__ import annotations

import json
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import NamedTuple

from bramleylead.bench._cache_bound import recomputed_bound
from bramleylead.bench._policy_result import ProgramOutcome
from bramleylead.bench._policy_result import TrialResult
from bramleylead.bench._workload import Workload

MS_PER_S = 1000.0


class PolicyFigure(NamedTuple):
    """One figure of one policy under one load.

    :param load: times the capacity found for ``least_outstanding``.
    :param baseline: the same figure of the best baseline, or what the name's entry says.
    :param seeds: runs that the value is taken over.
    """

    name: str
    policy: str
    user: str
    load: float
    value: float
    unit: str
    baseline: float | None = None
    baseline_policy: str = ""
    seeds: int = 1

    def to_json(self) -> str:
        """Return the figure as one JSON line."""
        ratio = self.value / self.baseline if self.baseline else None
        return json.dumps({**self._asdict(), "ratio": ratio})


class Measure(NamedTuple):
    """How one figure is taken from the runs of one policy under one load."""

    unit: str
    higher_is_better: bool
    take: Callable[[Sequence[TrialResult], Workload], float]


def quantile(values: Iterable[float], share: float) -> float:
    """Return the value that ``share`` of the values don't exceed; 0 without values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def worst_branch_slowdown_p95(runs: Sequence[TrialResult], branches: Iterable[str]) -> float:
    """Return the 95th percentile of the slowdown in the branch where it is worst."""
    worst = 0.0
    for branch in branches:
        slowdowns = [_slowdown(p) for p in _finished(runs) if p.branch == branch]
        worst = max(worst, quantile(slowdowns, 0.95))
    return worst


def _finished(runs: Sequence[TrialResult]) -> list[ProgramOutcome]:
    return [program for run in runs for program in run.programs if program.ok]


def _slowdown(program: ProgramOutcome) -> float:
    return program.latency_s / program.alone_s


def _latency(share: float) -> Callable[[Sequence[TrialResult], Workload], float]:
    def take(runs: Sequence[TrialResult], workload: Workload) -> float:
        return quantile((program.latency_s for program in _finished(runs)), share)

    return take


def _slowdowns(share: float) -> Callable[[Sequence[TrialResult], Workload], float]:
    def take(runs: Sequence[TrialResult], workload: Workload) -> float:
        return quantile((_slowdown(program) for program in _finished(runs)), share)

    return take


def _mean_latency(runs: Sequence[TrialResult], workload: Workload) -> float:
    latencies = [program.latency_s for program in _finished(runs)]
    return sum(latencies) / max(1, len(latencies))


def _alone_p99(runs: Sequence[TrialResult], workload: Workload) -> float:
    return quantile((program.alone_s for program in _finished(runs)), 0.99)


def _alone_p95(runs: Sequence[TrialResult], workload: Workload) -> float:
    return quantile((program.alone_s for program in _finished(runs)), 0.95)


def _first_token_p95(runs: Sequence[TrialResult], workload: Workload) -> float:
    return quantile((call.first_token_s for run in runs for call in run.calls), 0.95)


def _gap_p95_ms(runs: Sequence[TrialResult], workload: Workload) -> float:
    return MS_PER_S * quantile((call.gap_s for run in runs for call in run.calls), 0.95)


def _recomputed(runs: Sequence[TrialResult], workload: Workload) -> float:
    return sum(run.ledger.recomputed_tokens for run in runs) / len(runs)


def _recomputed_bound(runs: Sequence[TrialResult], workload: Workload) -> float:
    engines = len(workload.regions) * workload.engines_per_region
    memory = engines * (workload.engine.kv_tokens if workload.engine is not None else 0)
    return sum(recomputed_bound(run.uses, memory) for run in runs) / len(runs)


def _recomputed_share(runs: Sequence[TrialResult], workload: Workload) -> float:
    prompts = sum(run.ledger.prompt_tokens for run in runs)
    return sum(run.ledger.recomputed_tokens for run in runs) / max(1, prompts)


def _cross_region(runs: Sequence[TrialResult], workload: Workload) -> float:
    return sum(run.cross_region_bytes for run in runs) / len(runs)


def _goodput(runs: Sequence[TrialResult], workload: Workload) -> float:
    ended = [p for p in _finished(runs) if p.ended_s <= workload.window_s]
    return len(ended) / workload.window_s / len(runs)


def _finished_share(runs: Sequence[TrialResult], workload: Workload) -> float:
    return len(_finished(runs)) / max(1, sum(len(run.programs) for run in runs))


MEASURES: dict[str, Measure] = {
    "policy.latency_mean_s": Measure("s", False, _mean_latency),
    "policy.latency_p50_s": Measure("s", False, _latency(0.50)),
    "policy.latency_p95_s": Measure("s", False, _latency(0.95)),
    "policy.latency_p99_s": Measure("s", False, _latency(0.99)),
    "policy.alone_p95_s": Measure("s", False, _alone_p95),
    "policy.alone_p99_s": Measure("s", False, _alone_p99),
    "policy.slowdown_p50": Measure("times", False, _slowdowns(0.50)),
    "policy.slowdown_p95": Measure("times", False, _slowdowns(0.95)),
    "policy.slowdown_p99": Measure("times", False, _slowdowns(0.99)),
    "policy.first_token_p95_s": Measure("s", False, _first_token_p95),
    "policy.between_tokens_p95_ms": Measure("ms", False, _gap_p95_ms),
    "policy.recomputed_tokens": Measure("tokens", False, _recomputed),
    "policy.recomputed_tokens_bound": Measure("tokens", False, _recomputed_bound),
    "policy.recomputed_share": Measure("share", False, _recomputed_share),
    "policy.cross_region_bytes": Measure("bytes", False, _cross_region),
    "policy.goodput": Measure("programs/s", True, _goodput),
    "policy.finished_share": Measure("share", True, _finished_share),
}


def figures(
    runs: dict[str, Sequence[TrialResult]],
    workload: Workload,
    load: float,
    baselines: Sequence[str],
) -> list[PolicyFigure]:
    """Return every measure of every policy under one load, with the best baseline beside it."""
    found = []
    for name, measure in MEASURES.items():
        values = {policy: measure.take(results, workload) for policy, results in runs.items()}
        choose = max if measure.higher_is_better else min
        known = [policy for policy in baselines if policy in values]
        best = choose(known, key=values.__getitem__) if known else ""
        for policy, value in values.items():
            found.append(
                PolicyFigure(
                    name=name,
                    policy=policy,
                    user=workload.user,
                    load=load,
                    value=value,
                    unit=measure.unit,
                    baseline=values.get(best),
                    baseline_policy=best,
                    seeds=len(runs[policy]),
                )
            )
    return found
