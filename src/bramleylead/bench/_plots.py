"""Plots of the policy bench's figures over the load."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

from bramleylead.bench._policy_measures import PolicyFigure

PLOTTED = {
    "policy.latency_p95_s": "program latency, 95th percentile (s)",
    "policy.latency_p99_s": "program latency, 99th percentile (s)",
    "policy.recomputed_tokens": "recomputed tokens a run",
    "policy.goodput": "programs finished a second",
    "policy.finished_share": "share of programs finished",
    "policy.slowdown_p95": "slowdown, 95th percentile",
}


def draw_plots(found: Sequence[PolicyFigure], user: str, folder: Path) -> None:
    """Draw one page with every plotted figure of one user."""
    # The import takes a second, and only a run that draws needs it.
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot as plt

    folder.mkdir(parents=True, exist_ok=True)
    page, axes = plt.subplots(2, 3, figsize=(15, 8))
    for axis, (name, label) in zip(axes.flat, PLOTTED.items(), strict=True):
        policies = dict.fromkeys(figure.policy for figure in found if figure.name == name)
        for policy in policies:
            points = [
                (figure.load, figure.value)
                for figure in found
                if figure.name == name and figure.policy == policy
            ]
            points.sort()
            axis.plot(*zip(*points, strict=True), marker="o", label=policy)
        axis.set_xlabel("load, times the capacity of least_outstanding")
        axis.set_title(label)
    axes.flat[0].legend()
    page.suptitle(f"Policies under the workload of {user}")
    page.tight_layout()
    page.savefig(folder / f"policy-{user}.png", dpi=80)
    plt.close(page)
