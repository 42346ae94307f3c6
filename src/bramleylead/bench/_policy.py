"""``bramleylead bench policy``: the default policy against the baselines, in virtual time.

The load is given as a multiple of the capacity of ``least_outstanding``: the highest rate of
programs of which it finishes 95 in 100. Every figure is a JSON line.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import structlog
from absl import flags

from bramleylead.bench import bench
from bramleylead.bench._policy_measures import PolicyFigure
from bramleylead.bench._policy_measures import figures
from bramleylead.bench._policy_measures import worst_branch_slowdown_p95
from bramleylead.bench._policy_result import TrialResult
from bramleylead.bench._policy_trial import run_trial
from bramleylead.bench._workload import WORKLOADS
from bramleylead.bench._workload import Workload
from bramleylead.bench._workload import draw_arrivals
from bramleylead.bench._workload import load_workload
from bramleylead.node_settings import SchedulingSettings
from bramleylead.scheduling import policy_names

DEFAULT = "bramleylead"
CAPACITY_POLICY = "least_outstanding"
CAPACITY_SHARE = 0.95
"""Part of the programs that must finish at capacity."""
CAPACITY_STEPS = 6
LOADS = (0.5, 0.8, 1.0, 1.5, 3.0)
ABLATION_LOADS = (0.8, 1.5)
FLOOD_LOAD = 0.8
FLOOD_FACTOR = 10.0
SEEDS = 5
QUICK_LOADS = (0.8, 3.0)
QUICK_WINDOW = 0.25
"""Part of the workload's window that ``--quick`` runs."""
FIRST_RATE_PER_S = 1.0

ABLATIONS: dict[str, dict[str, Any]] = {
    "no_branch_shares": {"between_branches": False},
    "order_of_arrival": {"order": "arrival"},
    "no_backlog_bound": {"backlog_s": 1e9},
    "no_working_set": {"working_set_share": 0.0},
    "no_memory_weights": {"memory_s": 0.0, "evict_weight": 0.0},
    "no_wait_for_cache": {"wait_for_cache": 0.0},
    "no_rebuild_weight": {"rebuild_weight": 0.0, "pools": {"rebuild_weight": 0.0}},
    "no_shedding": {"shed": False},
    "no_pool_memory": {"pools": {"memory_s": 0.0}},
    "no_room_kept_for_others": {"over_share": 1e9},
}

Report = Callable[[PolicyFigure], None]


def run_policy(
    workload: Workload,
    policy: str,
    rate_per_s: float,
    seeds: Sequence[int],
    *,
    flood: float = 1.0,
    parameters: dict[str, Any] | None = None,
) -> list[TrialResult]:
    """Run one policy at one rate, once a seed."""
    settings = SchedulingSettings(policy=policy, parameters=parameters or {})
    results = []
    for seed in seeds:
        arrivals = draw_arrivals(workload, rate_per_s, seed=seed, flood=flood)
        results.append(run_trial(workload, settings, arrivals, seed=seed))
    return results


def find_capacity(workload: Workload, seed: int) -> float:
    """Return the capacity of ``least_outstanding`` in programs a second, by bisection."""
    low, high = 0.0, FIRST_RATE_PER_S
    while _keeps_up(workload, high, seed):
        low, high = high, high * 2
    for _ in range(CAPACITY_STEPS):
        middle = (low + high) / 2
        if _keeps_up(workload, middle, seed):
            low = middle
        else:
            high = middle
    return low


def _keeps_up(workload: Workload, rate_per_s: float, seed: int) -> bool:
    programs = run_policy(workload, CAPACITY_POLICY, rate_per_s, [seed])[0].programs
    return sum(program.ok for program in programs) >= CAPACITY_SHARE * len(programs)


def compare(
    workload: Workload,
    capacity: float,
    seeds: Sequence[int],
    report: Report,
    loads: Sequence[float] = LOADS,
) -> list[PolicyFigure]:
    """Run every policy under every load."""
    found: list[PolicyFigure] = []
    baselines = [name for name in policy_names() if name != DEFAULT]
    for load in loads:
        runs = {
            policy: run_policy(workload, policy, load * capacity, seeds)
            for policy in policy_names()
        }
        for figure in figures(runs, workload, load, baselines):
            found.append(figure)
            report(figure)
    return found + _goodput_peaks(found, workload, report)


def _goodput_peaks(
    found: Sequence[PolicyFigure], workload: Workload, report: Report
) -> list[PolicyFigure]:
    """Return each policy's goodput at the highest load, against its own peak."""
    peaks = []
    for policy in policy_names():
        goodput = {
            figure.load: figure.value
            for figure in found
            if figure.policy == policy and figure.name == "policy.goodput"
        }
        load = max(goodput)
        figure = PolicyFigure(
            name="policy.goodput_of_peak",
            policy=policy,
            user=workload.user,
            load=load,
            value=goodput[load],
            unit="programs/s",
            baseline=max(goodput.values()),
            baseline_policy=policy,
        )
        peaks.append(figure)
        report(figure)
    return peaks


def flood(
    workload: Workload,
    policies: Sequence[str],
    capacity: float,
    seeds: Sequence[int],
    report: Report,
) -> list[PolicyFigure]:
    """Let one branch offer ten times its share, and look at the branch that suffers most.

    The baseline is the same policy without the flood.
    """
    quiet = [branch for branch, _ in workload.branches()[1:]]
    rate = FLOOD_LOAD * capacity
    found = []
    for policy in policies:
        calm = run_policy(workload, policy, rate, seeds)
        flooded = run_policy(workload, policy, rate, seeds, flood=FLOOD_FACTOR)
        figure = PolicyFigure(
            name="policy.quiet_slowdown_p95",
            policy=policy,
            user=workload.user,
            load=FLOOD_LOAD,
            value=worst_branch_slowdown_p95(flooded, quiet),
            unit="times",
            baseline=worst_branch_slowdown_p95(calm, quiet),
            baseline_policy=f"{policy} without the flood",
            seeds=len(seeds),
        )
        found.append(figure)
        report(figure)
    return found


def ablate(
    workload: Workload, capacity: float, seeds: Sequence[int], report: Report
) -> list[PolicyFigure]:
    """Turn off one mechanism at a time; the baseline is the whole policy."""
    found = []
    for load in ABLATION_LOADS:
        rate = load * capacity
        runs = {DEFAULT: run_policy(workload, DEFAULT, rate, seeds)}
        for name, parameters in ABLATIONS.items():
            runs[name] = run_policy(workload, DEFAULT, rate, seeds, parameters=parameters)
        for figure in figures(runs, workload, load, [DEFAULT]):
            found.append(figure)
            report(figure)
    return found


def _define_flags() -> flags.FlagValues:
    values = flags.FlagValues()
    flags.DEFINE_bool("quick", False, "short windows and one seed", flag_values=values)
    flags.DEFINE_integer("seeds", 0, "runs a figure; 0 for the default", flag_values=values)
    flags.DEFINE_string("workload", "", "workload file in place of both", flag_values=values)
    flags.DEFINE_bool("ablation", False, "turn mechanisms off one by one", flag_values=values)
    flags.DEFINE_float("capacity", 0.0, "programs a second; 0: search", flag_values=values)
    flags.DEFINE_string("plots", "", "folder for plots", flag_values=values)
    return values


@bench("policy")
def main(argv: list[str]) -> int:
    """Run the bench and print its figures; 0 unless a run broke a promise."""
    values = _define_flags()
    values(["policy", *argv])
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    names = [values.workload] if values.workload else sorted(_shipped_workloads())
    for name in names:
        workload = load_workload(Path(name))
        if values.quick:
            window_s = QUICK_WINDOW * workload.window_s
            workload = workload.model_copy(update={"window_s": window_s})
        seeds = range(1, 1 + (values.seeds or (1 if values.quick else SEEDS)))
        _run_workload(workload, list(seeds), values)
    return 0


def _shipped_workloads() -> list[str]:
    return [str(path) for path in WORKLOADS.glob("*.json") if path.name != "engine.json"]


def _run_workload(workload: Workload, seeds: list[int], values: flags.FlagValues) -> None:
    known = workload.capacity_per_s if values.quick else 0.0
    capacity = values.capacity or known or find_capacity(workload, seeds[0])
    _print(
        PolicyFigure("policy.capacity", CAPACITY_POLICY, workload.user, 1.0, capacity, "programs/s")
    )
    if values.ablation:
        ablate(workload, capacity, seeds, _print)
        return
    loads = QUICK_LOADS if values.quick else LOADS
    found = compare(workload, capacity, seeds, _print, loads)
    flooded = [DEFAULT] if values.quick else policy_names()
    found += flood(workload, flooded, capacity, seeds, _print)
    if values.plots:
        # matplotlib is a development dependency and slow to import.
        from bramleylead.bench._plots import draw_plots

        draw_plots(found, workload.user, Path(values.plots))


def _print(figure: PolicyFigure) -> None:
    print(figure.to_json(), flush=True)
