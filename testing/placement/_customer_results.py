"""How well the programs of replayed customers were served."""

from __future__ import annotations

from typing import NamedTuple

from testing.placement._customer_replay import Ended


class Served(NamedTuple):
    """How well a set of programs was served.

    :param value: mean value of the programs.
    :param took_s: mean time of those that finished.
    """

    value: float
    took_s: float
    programs: int


def served(ended: list[Ended]) -> Served:
    """Return how well programs were served."""
    times = [end.took_s for end in ended if end.finished]
    return Served(
        sum(end.value for end in ended) / max(1, len(ended)),
        sum(times) / max(1, len(times)),
        len(ended),
    )


def _rank(found: Served) -> tuple[float, float]:
    """Return the order of customers: by value, and the slower one first if that is equal."""
    return (found.value, -found.took_s)


def worst_tenth(ended: list[Ended]) -> Served:
    """Return how well the tenth of the customers that was served worst was served."""
    by_customer: dict[str, list[Ended]] = {}
    for end in ended:
        by_customer.setdefault(end.customer, []).append(end)
    ordered = sorted(by_customer.values(), key=lambda ends: _rank(served(ends)))
    worst = ordered[: max(1, round(len(ordered) / 10))]
    return served([end for ends in worst for end in ends])
