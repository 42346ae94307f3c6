"""Benches: a decorator registers each under the name that ``bramleylead bench NAME`` takes.

A bench prints one JSON line a figure, with ``name``, ``value``, ``unit``, ``baseline`` and
``ratio``, all measured in the same run.
"""

from __future__ import annotations

import importlib
import json
import pkgutil
from collections.abc import Callable
from typing import NamedTuple

Bench = Callable[[list[str]], int]

BENCHES: dict[str, Bench] = {}


class Figure(NamedTuple):
    """One measured figure.

    :param baseline: the same quantity for what it is compared with; ``None`` without one.
    """

    name: str
    value: float
    unit: str
    baseline: float | None = None

    @property
    def ratio(self) -> float | None:
        """Value by baseline."""
        return self.value / self.baseline if self.baseline else None

    def to_json(self) -> str:
        """Return the figure as one JSON line."""
        return json.dumps({**self._asdict(), "ratio": self.ratio})


def bench(name: str) -> Callable[[Bench], Bench]:
    """Register a function that gets its arguments and returns an exit code.

    :raises ValueError: if the name is taken.
    """

    def register(function: Bench) -> Bench:
        if name in BENCHES:
            raise ValueError(f"bench {name} is registered already")
        BENCHES[name] = function
        return function

    return register


def load_benches() -> dict[str, Bench]:
    """Import every module of this package and return the registered benches."""
    for module in pkgutil.iter_modules(__path__):
        importlib.import_module(f"{__name__}.{module.name}")
    return BENCHES
