"""Operators' commands against the HTTP face of a small node over real sockets."""

from __future__ import annotations

import json
import os
import tempfile
import unittest
import unittest.mock
from pathlib import Path

import anyio
import anyio.to_thread
from result import Ok

from bramleylead.cli import ExitCode
from bramleylead.cli._operator import KEY_VARIABLE
from bramleylead.request import HttpApp
from bramleylead.request import HttpServer
from bramleylead.request import TicketState
from bramleylead.request import TicketStatus
from testing.cli.test_main import Run
from testing.cli.test_main import run
from testing.request.fakes import OPERATOR_KEY
from testing.request.fakes import SETTINGS
from testing.request.fakes import FakeNode
from testing.version.test_validation import FIRST

TEST_LIMIT_S = 30.0


def against(node: FakeNode, *commands: tuple[str, ...]) -> list[Run]:
    """Run commands one after the other; ``ADDRESS`` stands for the node's."""

    async def main() -> list[Run]:
        server = HttpServer(HttpApp(node, SETTINGS))
        with anyio.fail_after(TEST_LIMIT_S):
            async with anyio.create_task_group() as tasks:
                address = await tasks.start(server.serve, "127.0.0.1:0")
                node.http_address = address
                found = []
                for words in commands:
                    named = [word.replace("ADDRESS", address) for word in words]
                    found.append(await anyio.to_thread.run_sync(lambda named=named: run(*named)))
                server.stop(grace_s=1)
        return found

    with unittest.mock.patch.dict(os.environ, {KEY_VARIABLE: OPERATOR_KEY}):
        return anyio.run(main, backend="asyncio")


class OperatorTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.file = Path(folder.name, "1.json")
        self.file.write_text(json.dumps(FIRST))

    def test_a_ticket_is_submitted_listed_shown_and_asked_about(self) -> None:
        at = "--address=ADDRESS"
        submit, listed, shown, status = against(
            FakeNode(),
            ("ticket", at, "submit", str(self.file)),
            ("ticket", at, "list"),
            ("ticket", at, "show", "1"),
            ("ticket", at, "status", "1"),
        )
        self.assertEqual(submit, Run(0, "ticket 1: accepted\n", ""))
        self.assertEqual(listed.out, "     1  ann\n")
        self.assertEqual(json.loads(shown.out), FIRST)
        self.assertIn("node-2: has not shown that it has it", status.out)

    def test_waiting_ends_with_who_has_not_got_it(self) -> None:
        (waited,) = against(
            FakeNode(), ("ticket", "--address=ADDRESS", "--timeout_s=0.1", "wait", "1")
        )
        self.assertEqual(waited.code, ExitCode.UNREACHABLE)
        self.assertIn("spreading after 0.1 s; without it: node-2", waited.err)

    def test_waiting_ends_when_it_is_in_force(self) -> None:
        node = FakeNode()

        async def in_force(number: int) -> Ok[TicketStatus]:
            return Ok(TicketStatus(number, TicketState.IN_FORCE, (), ()))

        node.ticket_status = in_force
        submit = ("ticket", "--address=ADDRESS", "--wait", "submit", str(self.file))
        (waited,) = against(node, submit)
        self.assertEqual(waited.out.splitlines()[-1], "ticket 1: in force on 0 nodes")

    def test_a_conflict_names_the_winner(self) -> None:
        node = FakeNode()
        node.tickets[1] = b"{}"
        (refused,) = against(node, ("ticket", "--address=ADDRESS", "submit", str(self.file)))
        self.assertEqual(refused.code, ExitCode.REFUSED)
        self.assertIn("ticket_conflict (409): ticket 1: taken by ann", refused.err)

    def test_a_file_with_faults_is_not_sent(self) -> None:
        self.file.write_text(json.dumps({**FIRST, "number": 0}))
        node = FakeNode()
        (refused,) = against(node, ("ticket", "--address=ADDRESS", "submit", str(self.file)))
        self.assertEqual((refused.code, node.tickets), (ExitCode.INVALID, {}))
        self.assertIn("number: 0: must be greater than or equal to 1", refused.err)

    def test_the_dump_is_printed(self) -> None:
        (shown,) = against(FakeNode(), ("dump", "ADDRESS"))
        self.assertEqual(json.loads(shown.out)["members"][0]["node"], "fake")
        self.assertEqual(json.loads(shown.out).keys(), FakeNode().dump().keys())

    def test_a_call_is_explained_by_every_member(self) -> None:
        (shown,) = against(FakeNode(), ("dump", "--call=p-1/2", "ADDRESS"))
        told = {"fake": FakeNode().explain("p-1", 2)}
        self.assertEqual(json.loads(shown.out), {"call": "p-1/2", "nodes": told})

    def test_a_member_that_does_not_answer_is_named(self) -> None:
        node = FakeNode()
        node.dump = lambda: {"members": [{"node": "gone", "http_address": "127.0.0.1:1"}]}
        (shown,) = against(node, ("dump", "--call=p-1/2", "ADDRESS"))
        self.assertIn("no answer", json.loads(shown.out)["nodes"]["gone"])

    def test_a_call_that_is_none(self) -> None:
        (refused,) = against(FakeNode(), ("dump", "--call=p-1", "ADDRESS"))
        self.assertEqual(refused.code, ExitCode.USAGE)
        self.assertIn("must be PROGRAM/NUMBER", refused.err)

    def test_nobody_at_the_address(self) -> None:
        with unittest.mock.patch.dict(os.environ, {KEY_VARIABLE: OPERATOR_KEY}):
            got = run("dump", "127.0.0.1:1")
        self.assertEqual(got.code, ExitCode.UNREACHABLE)

    def test_no_key(self) -> None:
        with unittest.mock.patch.dict(os.environ, {KEY_VARIABLE: ""}):
            got = run("dump", "127.0.0.1:1")
        self.assertEqual(got.code, ExitCode.USAGE)
        self.assertIn("--key_file", got.err)


if __name__ == "__main__":
    unittest.main()
