"""Runs the product under seeded, virtual time: an hour takes seconds and repeats."""

from __future__ import annotations

import random
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

import anyio
import trio
from trio.testing import MockClock

_T = TypeVar("_T")


_seed = 0


def virtual_random(name: str) -> random.Random:
    """Return a generator for one part of a run; the run's seed and the name give its numbers."""
    return random.Random(f"{_seed}/{name}")


def run_virtual(main: Callable[[], Awaitable[_T]], *, seed: int) -> _T:
    """Run ``main`` on the trio backend with a clock that jumps to the next timer.

    trio shuffles the tasks that are ready together; with its random numbers seeded and the batch
    sorted first, the same seed gives the same run. Both are trio's own hooks for deterministic
    tests.
    """
    global _seed
    _seed = seed
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    clock = MockClock(autojump_threshold=0)
    return anyio.run(main, backend="trio", backend_options={"clock": clock})
