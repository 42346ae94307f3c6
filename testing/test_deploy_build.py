"""The build installs what fits this machine, also after a build that broke off."""

from __future__ import annotations

import importlib.util
import os
import shutil
import subprocess
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PIP_CALLS = "pip-calls"
UNCHECKED_HASH = 0b01
"""The flags of a compiled file, by PEP 552: it has a hash, which is not compared."""
PYTHON = f"""#!/bin/sh
case "$*" in
  *pip*) echo "$*" >> {PIP_CALLS}
    [ -z "$PIP_BREAKS_OFF" ] || {{ mkdir -p target/deps.new target/deps/half; exit 1; }}
    for folder in "$@"; do case "$folder" in target/*) break ;; esac; done
    mkdir -p "$folder" && touch "$folder/library" "$folder/library_module.py" ;;
  *) exec {sys.executable} "$@" ;;
esac
"""


class BuildTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        shutil.copytree(ROOT / "deploy", self.folder / "deploy")
        shutil.copytree(ROOT / "requirements", self.folder / "requirements")
        (self.folder / "src" / "bramleylead").mkdir(parents=True)
        (self.folder / "src" / "bramleylead" / "__init__.py").touch()
        (self.folder / "bin").mkdir()
        python = self.folder / "bin" / "python3"
        python.write_text(PYTHON)
        python.chmod(0o755)
        self.deps = self.folder / "target" / "deps"

    def build(self, **variables: str) -> int:
        """Build, and return the exit code."""
        command = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["build"]
        path = f"{self.folder / 'bin'}:{os.environ['PATH']}"
        environment = {"PATH": path, "PIP_BREAKS_OFF": "", **variables}
        return subprocess.run(
            command, shell=True, cwd=self.folder, env=environment, check=False
        ).returncode

    def pip_calls(self) -> int:
        """Return how often libraries were installed."""
        file = self.folder / PIP_CALLS
        return len(file.read_text().splitlines()) if file.exists() else 0

    def assert_whole(self) -> None:
        self.assertTrue((self.deps / "library").exists())
        self.assertTrue((self.deps / "bramleylead" / "__init__.py").exists())

    # Guards against starts that compile every module, where a copy has other times of change.
    def test_compiled_files_hold_whatever_the_times_of_change(self) -> None:
        self.assertEqual(self.build(), 0)
        for source in (self.deps / "library_module.py", self.deps / "bramleylead" / "__init__.py"):
            compiled = Path(importlib.util.cache_from_source(str(source))).read_bytes()
            with self.subTest(source.name):
                self.assertEqual(int.from_bytes(compiled[4:8], "little"), UNCHECKED_HASH)

    # Guards against libraries of another machine or Python in a folder that was carried over.
    def test_libraries_of_another_machine_are_installed_again(self) -> None:
        self.deps.mkdir(parents=True)
        (self.deps / ".installed").write_text("x86_64 or aarch64\n")
        (self.deps / "of-the-other-machine").touch()
        self.assertEqual(self.build(), 0)
        self.assertEqual(self.pip_calls(), 1)
        self.assertFalse((self.deps / "of-the-other-machine").exists())
        self.assert_whole()

    def test_a_second_build_installs_nothing(self) -> None:
        self.assertEqual((self.build(), self.build()), (0, 0))
        self.assertEqual(self.pip_calls(), 1)
        self.assert_whole()

    def test_another_list_of_versions_is_installed(self) -> None:
        self.assertEqual(self.build(), 0)
        (self.folder / "requirements" / "site.txt").write_text("other==1\n")
        self.assertEqual(self.build(), 0)
        self.assertEqual(self.pip_calls(), 2)

    # Guards against a half installed folder that the next build takes for a whole one.
    def test_a_build_that_broke_off_is_done_again(self) -> None:
        self.assertNotEqual(self.build(PIP_BREAKS_OFF="1"), 0)
        self.assertEqual(self.build(), 0)
        self.assertFalse((self.deps / "half").exists())
        self.assert_whole()
