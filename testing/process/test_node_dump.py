"""The state dump of a running node, and that it contains no secrets."""

from __future__ import annotations

import json
import unittest
from typing import Any

import anyio

from bramleylead.request import CallKind
from bramleylead.request import CallRequest
from bramleylead.request import OpenProgram
from bramleylead.standins import run_virtual
from bramleylead.trials._deployments import CLUSTER_KEY
from bramleylead.trials._deployments import MODEL
from bramleylead.trials._deployments import aspenhold
from bramleylead.trials._fleet import Fleet
from bramleylead.trials._fleet import running_fleet

CALLER_TEXT = "what a caller says in confidence"
BRANCH = "lakeland"


async def _call(fleet: Fleet, program: str) -> None:
    """Open a program on the first ready node, and make its first call."""
    node = fleet.ready()[0].node
    assert node is not None
    opened = await node.open_program(OpenProgram(BRANCH, program, "tutoring"))
    opened.unwrap()
    request = CallRequest(
        branch=BRANCH,
        program=program,
        number=1,
        incarnation=0,
        key="",
        call_kind=CallKind.MODEL,
        target=MODEL,
        messages=(("user", CALLER_TEXT),),
        whole_history=False,
        arguments={},
        max_tokens=20,
        deadline_s=60.0,
    )
    async with node.call(request) as items:
        async for _ in items:
            pass


def dumps() -> tuple[list[dict[str, Any]], list[dict[str, Any]]]:
    """Return every node's dump, and every node's explanation of one call."""

    async def main() -> Any:
        async with running_fleet(aspenhold(), seed=1) as fleet:
            await anyio.sleep(20.0)
            await _call(fleet, "p-1")
            nodes = [host.node for host in fleet.hosts.values() if host.node is not None]
            return [node.dump() for node in nodes], [node.explain("p-1", 1) for node in nodes]

    return run_virtual(main, seed=1)


class NodeDumpTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.states, cls.explanations = dumps()

    def test_the_dump_shows_members_tickets_partitions_queues_and_decisions(self) -> None:
        self.assertEqual({len(state["members"]) for state in self.states}, {6})
        self.assertEqual({state["tickets"]["number"] for state in self.states}, {1})
        self.assertTrue(all(state["tickets"]["current"] for state in self.states))
        partitions = [state["partitions"] for state in self.states]
        self.assertEqual(sum(item["owned"] for item in partitions), 48)
        self.assertEqual(sum(item["programs"] for item in partitions), 1)
        self.assertEqual(
            {each["mode"] for item in partitions for each in item["owned_partitions"]}, {"paired"}
        )
        dispatchers = [each for state in self.states for each in state["scheduling"]["dispatchers"]]
        decisions = [each for dispatcher in dispatchers for each in dispatcher["decisions"]]
        self.assertIn("p-1/1", {decision["call"] for decision in decisions})
        self.assertEqual({dispatcher["queued"] for dispatcher in dispatchers}, {0})

    def test_a_call_is_explained_by_its_owner_and_its_dispatcher(self) -> None:
        records = [
            explanation["record"]
            for explanation in self.explanations
            if explanation["record"] is not None
        ]
        self.assertEqual(len(records), 1)
        self.assertEqual((records[0]["status"], records[0]["running"]), ("done", False))
        endpoint = records[0]["endpoint"]
        decisions = [each for explanation in self.explanations for each in explanation["decisions"]]
        granted = [each for each in decisions if each["endpoint"] == endpoint]
        self.assertTrue(granted and all(each["reason"] for each in granted))

    def test_secrets_and_caller_texts_are_left_out(self) -> None:
        settings = aspenhold()
        keys = [branch.key_sha256 for branch in settings.ticket.branches.values()]
        operator = next(iter(settings.nodes.values())).operator_key_sha256
        text = json.dumps([self.states, self.explanations])
        for secret in (CLUSTER_KEY, operator, CALLER_TEXT, *keys):
            self.assertNotIn(secret, text)


if __name__ == "__main__":
    unittest.main()
