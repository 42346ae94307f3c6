"""The command line where only the libraries of a deployment are installed."""

from __future__ import annotations

import re
import subprocess
import sys
import unittest
from pathlib import Path

from bramleylead.cli import ExitCode
from bramleylead.cli._registry import names

ROOT = Path(__file__).resolve().parent.parent.parent
DEPLOYED = ("gateway", "ledger")
RUN = """
import importlib.abc
import sys
from importlib.metadata import packages_distributions

allowed = set(sys.argv.pop(1).split(","))
distributions = packages_distributions()


class OnlyDeployed(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        top = name.partition(".")[0]
        owners = {owner.lower().replace("_", "-") for owner in distributions.get(top, ())}
        if owners and not owners & allowed:
            raise ModuleNotFoundError(f"No module named {top!r}", name=top)
        return None


sys.meta_path.insert(0, OnlyDeployed())
from bramleylead.cli import main
sys.exit(main(["bramleylead", *sys.argv[1:]]))
"""


def deployed_distributions() -> str:
    lines = (ROOT / "requirements" / "site.txt").read_text().split()
    found = [re.split("==", line)[0].lower().replace("_", "-") for line in lines]
    return ",".join([*found, "bramleylead"])


def run(*words: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-c", RUN, deployed_distributions(), *words]
    return subprocess.run(command, capture_output=True, text=True, check=False)


class DeployedHelpTest(unittest.TestCase):
    # Guards against a traceback: the help imported commands whose libraries a deployment lacks.
    def test_the_overview_lists_every_command(self) -> None:
        shown = run("--help")
        self.assertEqual((shown.returncode, shown.stderr), (0, ""))
        for name in names():
            self.assertRegex(shown.stdout, rf"(?m)^  {name} +\S")

    def test_each_command_has_help(self) -> None:
        for name in names():
            with self.subTest(name):
                shown = run(name, "--help")
                self.assertEqual((shown.returncode, shown.stderr), (0, ""))
                self.assertIn(f"usage: bramleylead {name}", shown.stdout)

    def test_the_deployed_commands_are_available_and_others_say_what_they_need(self) -> None:
        for name in DEPLOYED:
            self.assertNotIn("Not available", run(name, "--help").stdout)
        engine = run("engine")
        self.assertEqual(engine.returncode, ExitCode.UNAVAILABLE)
        self.assertRegex(engine.stderr, "engine: needs [a-z]+, which is not installed")
