"""Runs every test and prints the closing line that CI reads: ``python -m testing [PATTERN]``."""

from __future__ import annotations

import re
import sys
import time
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent
KNOWN_RED = ROOT.parent / "KNOWN-RED.txt"
SLOWEST_SHOWN = 8


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


def known_red() -> set[str]:
    """Return the ids of tests that KNOWN-RED.txt lists as ``test: ID`` lines."""
    if not KNOWN_RED.exists():
        return set()
    return set(re.findall(r"^test: (\S+)", KNOWN_RED.read_text(), flags=re.MULTILINE))


def main(argv: list[str]) -> int:
    pattern = argv[1] if len(argv) > 1 else "test_*.py"
    suite = unittest.TestLoader().discover(str(ROOT), pattern, top_level_dir=str(ROOT.parent))
    runner = unittest.TextTestRunner(resultclass=TimedResult, verbosity=1)
    outcome = runner.run(suite)
    for seconds, name in sorted(outcome.seconds, reverse=True)[:SLOWEST_SHOWN]:
        print(f"{seconds:7.2f} s  {name}")
    failing = {test.id() for test, _ in outcome.failures + outcome.errors}
    allowed = known_red()
    for name in sorted(failing & allowed):
        print(f"known red: {name}")
    for name in sorted(allowed - failing):
        print(f"listed in KNOWN-RED.txt but green: {name}")
    unexpected = failing - allowed
    print(f"{outcome.passed} passed, {len(failing)} failed")
    ran_something = outcome.testsRun > 0
    return 0 if ran_something and not unexpected and not outcome.unexpectedSuccesses else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv))
