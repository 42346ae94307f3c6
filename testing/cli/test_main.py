"""The command line: help, exit codes, and what is printed for faults."""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from typing import Any
from typing import NamedTuple

from bramleylead.bench import Figure
from bramleylead.cli import ExitCode
from bramleylead.cli import main
from bramleylead.cli._registry import names
from testing.process.test_settings_file import GOOD
from testing.version.test_validation import FIRST


class Run(NamedTuple):
    code: int
    out: str
    err: str


def run(*words: str) -> Run:
    with (
        contextlib.redirect_stdout(io.StringIO()) as out,
        contextlib.redirect_stderr(io.StringIO()) as err,
    ):
        code = main(["bramleylead", *words])
    return Run(code, out.getvalue(), err.getvalue())


class HelpTest(unittest.TestCase):
    def test_every_command_has_help(self) -> None:
        overview = run("--help")
        self.assertEqual(overview.code, ExitCode.OK)
        for name in names():
            with self.subTest(command=name):
                shown = run(name, "--help")
                self.assertEqual(shown.code, ExitCode.OK)
                self.assertTrue(shown.out.startswith(f"usage: bramleylead {name} "))
                self.assertIn(f"\n  {name} ", overview.out)

    def test_flags_are_described(self) -> None:
        self.assertIn("--timeout_s=", run("ticket", "--help").out)

    def test_unknown_commands_and_flags(self) -> None:
        self.assertEqual(run().code, ExitCode.USAGE)
        unknown = run("tikcet")
        self.assertEqual(unknown.code, ExitCode.USAGE)
        self.assertIn("must be one of bench, check", unknown.err)
        flag = run("ticket", "--adress=1", "list")
        self.assertEqual(flag.code, ExitCode.USAGE)
        self.assertIn("adress", flag.err)


class CheckTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name: str, document: Any) -> str:
        path = self.folder / name
        path.write_text(json.dumps(document))
        return str(path)

    def test_good_files(self) -> None:
        node = self.write("n1.json", GOOD)
        first = self.write("1.json", FIRST)
        second = self.write("2.json", {"number": 2, "author": "ann"})
        checked = run("check", node, second, first)
        self.assertEqual(checked, Run(0, "1 settings files and 2 tickets are good\n", ""))

    def test_every_fault_of_every_file_gets_a_line(self) -> None:
        node = self.write("n1.json", {**GOOD, "nodde": 1, "stop_grace_s": 0})
        ticket = self.write("1.json", {**FIRST, "budgets": {}})
        checked = run("check", node, ticket)
        self.assertEqual(checked.code, ExitCode.INVALID)
        self.assertEqual(len(checked.err.splitlines()), 3)
        self.assertIn(f"{ticket}: branches.prairie.budget", checked.err)

    def test_a_file_that_can_not_be_decoded_is_invalid(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder, "deep.json")
            file.write_text("[" * 50_000 + "]" * 50_000)
            checked = run("check", str(file))
        self.assertEqual(checked.code, ExitCode.INVALID)
        self.assertIn("nested too deeply", checked.err)

    def test_settings_that_clash(self) -> None:
        files = [self.write(f"n{index}.json", GOOD) for index in (1, 2)]
        checked = run("check", *files)
        self.assertEqual(checked.code, ExitCode.INVALID)
        self.assertIn("http_address", checked.err)

    def test_a_ticket_after_a_gap_is_checked_for_form_only(self) -> None:
        later = self.write("7.json", {"number": 7, "author": "ann", "remove_branches": ["x"]})
        checked = run("check", later)
        self.assertEqual(checked.code, ExitCode.OK)
        self.assertIn("only its form is checked: ticket 1 is not given", checked.out)

    def test_a_file_that_is_not_there(self) -> None:
        self.assertEqual(run("check", "/nowhere.json").code, ExitCode.INVALID)


class MisuseTest(unittest.TestCase):
    def test_wrong_words_are_usage_errors(self) -> None:
        for words in (
            ("check",),
            ("dump",),
            ("ticket",),
            ("ticket", "sumbit", "x"),
            ("ticket", "wait"),
            ("ticket", "wait", "one"),
            ("ticket", "list", "x"),
            ("bench", "no-such"),
        ):
            with self.subTest(words=words):
                got = run(*words)
                self.assertEqual(got.code, ExitCode.USAGE)
                self.assertNotEqual(got.err, "")


class FigureTest(unittest.TestCase):
    def test_a_figure_is_one_json_line(self) -> None:
        line = Figure("path.first_token_added_p99_ms", 3.0, "ms", 1.5).to_json()
        self.assertEqual(json.loads(line)["ratio"], 2.0)
        self.assertIsNone(json.loads(Figure("x", 1.0, "s").to_json())["ratio"])


if __name__ == "__main__":
    unittest.main()
