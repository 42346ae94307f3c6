"""Runs test modules side by side and prints the closing line that CI reads.

Each test still has its own seeded, virtual time, so the processes do not change what it does.
"""

from __future__ import annotations

import io
import multiprocessing
import os
import re
import sys
import time
import unittest
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent
KNOWN_RED = ROOT.parent / "KNOWN-RED.txt"
SLOWEST_SHOWN = 8
MOST_PROCESSES = 6


class ModuleOutcome(NamedTuple):
    """What one module's tests did.

    :param failing: ids of tests that failed or broke, with their tracebacks.
    :param seconds: time and id of each test.
    """

    module: str
    ran: int
    passed: int
    failing: dict[str, str]
    seconds: list[tuple[float, str]]
    output: str


class TimedResult(unittest.TextTestResult):
    """Counts passes and remembers how long each test took."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        super().__init__(*args, **kwargs)
        self.passed = 0
        self.seconds: list[tuple[float, str]] = []
        self._started = 0.0

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        self._started = time.perf_counter()
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        self.seconds.append((time.perf_counter() - self._started, test.id()))
        super().stopTest(test)

    def addSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802
        self.passed += 1
        super().addSuccess(test)

    def addUnexpectedSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802
        super().addUnexpectedSuccess(test)
        self.failures.append((test, "passed although it was expected to fail"))


def run_module(module: str) -> ModuleOutcome:
    """Run the tests of one module in this process."""
    suite = unittest.TestLoader().loadTestsFromName(module)
    text = io.StringIO()
    runner = unittest.TextTestRunner(stream=text, resultclass=TimedResult, verbosity=0)
    result = runner.run(suite)
    failing: dict[str, str] = {}
    for test, trace in result.failures + result.errors:
        failing[test.id()] = trace
    return ModuleOutcome(
        module, result.testsRun, result.passed, failing, result.seconds, text.getvalue()
    )


def modules(pattern: str) -> Iterator[str]:
    """Yield the dotted names of test modules whose file matches a pattern, sorted."""
    for path in sorted(ROOT.rglob(pattern)):
        if path.suffix != ".py":
            continue
        parts = path.relative_to(ROOT.parent).with_suffix("").parts
        yield ".".join(parts)


def known_red() -> set[str]:
    """Return the ids of tests that KNOWN-RED.txt lists as ``test: ID`` lines."""
    if not KNOWN_RED.exists():
        return set()
    return set(re.findall(r"^test: (\S+)", KNOWN_RED.read_text(), flags=re.MULTILINE))


def run_all(names: list[str]) -> list[ModuleOutcome]:
    """Run modules side by side; outcomes come in the modules' order."""
    processes = max(1, min(MOST_PROCESSES, len(names), (os.cpu_count() or 2) - 1))
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(processes, mp_context=context) as pool:
        return list(pool.map(run_module, names))


def main(argv: list[str]) -> int:
    """Run the tests and return the exit code."""
    pattern = argv[1] if len(argv) > 1 else "test_*.py"
    names = list(modules(pattern))
    if not names:
        print(f"no module in {ROOT.name}/ matches {pattern!r}", file=sys.stderr)
        return 1
    outcomes = run_all(names)
    for outcome in outcomes:
        if outcome.failing:
            print(outcome.output)
    failing = {name for outcome in outcomes for name in outcome.failing}
    return report(outcomes, failing, known_red())


def report(outcomes: list[ModuleOutcome], failing: set[str], allowed: set[str]) -> int:
    """Print the slowest tests, what is known red, and the closing line."""
    seconds = sorted((item for outcome in outcomes for item in outcome.seconds), reverse=True)
    for taken, name in seconds[:SLOWEST_SHOWN]:
        print(f"{taken:7.2f} s  {name}")
    red = {name for name in failing if name.partition(" ")[0] in allowed}
    for name in sorted(red):
        print(f"known red: {name}")
    ran = {name for _, name in seconds}
    for name in sorted((allowed & ran) - {name.partition(" ")[0] for name in failing}):
        print(f"listed in KNOWN-RED.txt but green: {name}")
    passed = sum(outcome.passed for outcome in outcomes)
    print(f"{passed} passed, {len(failing)} failed", flush=True)
    ran_something = any(outcome.ran for outcome in outcomes)
    return 0 if ran_something and not failing - red else 1
