"""HTTP routes for operators, health probes and programs."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable
from collections.abc import Callable

from bramleylead.request import EndProgram
from bramleylead.request import OpenProgram
from bramleylead.request import ReadProgram
from bramleylead.standins import run_virtual
from testing.request.fakes import OPERATOR_KEY
from testing.request.fakes import OTHER_KEY
from testing.request.fakes import Caller
from testing.request.fakes import FakeNode
from testing.request.fakes import Response


def run(action: Callable[[], Awaitable[Response]]) -> Response:
    return run_virtual(action, seed=1)


class TicketTest(unittest.TestCase):
    def setUp(self) -> None:
        self.node = FakeNode()
        self.operator = Caller(self.node, key=OPERATOR_KEY)

    def test_a_ticket_is_accepted_shown_and_listed(self) -> None:
        response = run(lambda: self.operator.post("/v1/tickets", {"number": 1}))
        self.assertEqual((response.status, response.json["number"]), (201, 1))
        shown = run(lambda: self.operator.get("/v1/tickets/1"))
        self.assertEqual(shown.json["ticket"], {"number": 1})
        listed = run(lambda: self.operator.get("/v1/tickets"))
        self.assertEqual([item["number"] for item in listed.json["tickets"]], [1])

    def test_a_conflict_names_the_winner(self) -> None:
        run(lambda: self.operator.post("/v1/tickets", {"number": 1}))
        response = run(lambda: self.operator.post("/v1/tickets", {"number": 1, "note": "late"}))
        self.assertEqual((response.status, response.error["error_kind"]), (409, "ticket_conflict"))
        self.assertIn("ann", response.error["detail"])

    def test_the_status_names_the_nodes_without_the_ticket(self) -> None:
        response = run(lambda: self.operator.get("/v1/tickets/1/status"))
        self.assertEqual(
            (response.json["state"], response.json["missing"]), ("spreading", ["node-2"])
        )

    def test_an_invalid_ticket_number_is_malformed(self) -> None:
        response = run(lambda: self.operator.get("/v1/tickets/one"))
        self.assertEqual((response.status, response.error["error_kind"]), (400, "malformed"))


class ProbeTest(unittest.TestCase):
    def test_probes_and_metrics_require_no_key(self) -> None:
        node = FakeNode()
        public = Caller(node, key="")
        self.assertEqual(run(lambda: public.get("/healthz")).status, 200)
        self.assertEqual(run(lambda: public.get("/readyz")).status, 200)
        node.is_ready = False
        self.assertEqual(run(lambda: public.get("/readyz")).status, 503)
        page = run(lambda: public.get("/metrics"))
        self.assertIn(b'bramleylead_requests_total{answer="none",route="/readyz"} 2', page.body)
        self.assertIn("text/plain", page.headers["content-type"])

    def test_every_refusal_is_counted_by_route_and_kind(self) -> None:
        node = FakeNode()
        run(lambda: Caller(node, key="wrong").get("/dump"))
        labels = {"route": "/dump", "answer": "unauthenticated"}
        self.assertEqual(node.metrics.requests.get(labels), 1)
        self.assertEqual(node.metrics.requests_running.get({}), 0)

    def test_the_dump_requires_the_operator_key(self) -> None:
        node = FakeNode()
        self.assertEqual(run(lambda: Caller(node).get("/dump")).status, 403)
        response = run(lambda: Caller(node, key=OPERATOR_KEY).get("/dump"))
        self.assertEqual(response.json, node.dump())


class ExplainTest(unittest.TestCase):
    def test_a_call_is_explained_to_operators_only(self) -> None:
        node = FakeNode()
        self.assertEqual(run(lambda: Caller(node).get("/dump/calls/p-1/2")).status, 403)
        response = run(lambda: Caller(node, key=OPERATOR_KEY).get("/dump/calls/p-1/2"))
        self.assertEqual(response.json, node.explain("p-1", 2))

    def test_an_invalid_call_number_is_malformed(self) -> None:
        response = run(lambda: Caller(FakeNode(), key=OPERATOR_KEY).get("/dump/calls/p-1/two"))
        self.assertEqual(response.status, 400)
        self.assertIn("call number: two", response.error["detail"])


class ProgramTest(unittest.TestCase):
    def test_a_program_opens_with_the_only_kind_and_a_new_id(self) -> None:
        node = FakeNode()
        response = run(lambda: Caller(node).post("/v1/programs", {}))
        self.assertEqual(response.status, 201)
        self.assertEqual(node.requests, [OpenProgram("prairie", "p-new", "tutoring", "")])
        self.assertEqual(response.headers["bramleylead-program"], "p-new")

    def test_a_sub_agent_opens_under_its_parent(self) -> None:
        node = FakeNode()
        body = {"program": "p-2", "kind": "exam", "parent": "p-1"}
        run(lambda: Caller(node).post("/v1/programs", body))
        self.assertEqual(node.requests, [OpenProgram("prairie", "p-2", "exam", "p-1")])

    def test_the_kind_is_required_if_the_branch_has_several(self) -> None:
        response = run(lambda: Caller(FakeNode(), key=OTHER_KEY).post("/v1/programs", {}))
        self.assertEqual(response.status, 400)
        self.assertIn("tutoring, exam", response.error["detail"])

    def test_a_program_is_read_and_ended(self) -> None:
        node = FakeNode()
        response = run(lambda: Caller(node).get("/v1/programs/p-1?history=1"))
        self.assertEqual(response.json["messages"], [{"role": "user", "content": "hi"}])
        self.assertEqual(response.json["bramleylead"]["incarnation"], 3)
        run(lambda: Caller(node).send("DELETE", "/v1/programs/p-1", [], {}))
        expected = [ReadProgram("prairie", "p-1", True), EndProgram("prairie", "p-1")]
        self.assertEqual(node.requests, expected)


if __name__ == "__main__":
    unittest.main()
