"""Parsing of the platform's objects and headers."""

from __future__ import annotations

import unittest
from typing import Any

from bramleylead.customers import Customer
from bramleylead.customers import Quota
from bramleylead.platform import _wire as wire
from bramleylead.platform._decode import UnreadableError
from bramleylead.platform._decode import read_configuration
from bramleylead.platform._decode import read_replica
from bramleylead.platform._types import CallKind
from bramleylead.platform._types import Load
from bramleylead.platform._types import PromptPart
from bramleylead.platform._types import Share
from bramleylead.platform._types import Software

ROUTE: dict[str, Any] = {
    "name": "r",
    "host": "h.example",
    "path-prefix": "/p/",
    "kind": "streaming",
    "timeout-ms": 3000,
    "target-latency-ms": 250,
    "priority": 1,
    "service": "s",
    "attempts": 2,
    "retained": True,
    "retention-s": 60.0,
    "resumable": True,
}
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 4194304,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}
ENGINE = {"slots": 12, "kv-cache-tokens": 377056, "event-tokens": 23}
SERVICE = {"name": "s", "max-connections": 150, "engine": ENGINE}
ENTRY = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "version": "v1",
    "slots": 12,
    "state": "ready",
    "sequence": 4,
}


def configuration_with(*routes: dict[str, Any]) -> dict[str, Any]:
    return {"version": 7, "routes": list(routes), "services": [SERVICE], "limits": LIMITS}


class CustomersTest(unittest.TestCase):
    def test_customers_are_parsed_with_priority_and_quota(self) -> None:
        plain = configuration_with(ROUTE, {**ROUTE, "name": "open", "public": True})
        plain["tenants"] = [
            {"name": "ann", "api-keys": ["k1"], "priority": 1, "rate-per-s": 8, "burst": 2.5},
            {"name": "ben", "api-keys": ["k2", "k3"], "rate-per-s": 0, "burst": 3},
        ]
        read = read_configuration(plain)
        self.assertEqual(read.customers.all, (Customer("ann", 1, Quota(8.0, 2.5)), Customer("ben")))
        self.assertEqual(read.customers.find("k3"), Customer("ben"))
        self.assertEqual([route.public for route in read.routes], [False, True])
        self.assertEqual(read_configuration(configuration_with(ROUTE)).customers.all, ())

    # Guards against a configuration that lets nobody in, or everybody, and against keys in logs.
    def test_customers_that_make_no_sense_are_refused_without_showing_a_key(self) -> None:
        for change in (
            {"name": 7},
            {"name": ""},
            {"api-keys": "secret"},
            {"api-keys": ["secret", 7]},
            {"api-keys": ["secret", ""]},
            {"api-keys": ["secret\n"]},
            {"priority": -1},
            {"priority": True},
            {"rate-per-s": -1},
            {"rate-per-s": "secret"},
            {"rate-per-s": float("inf")},
            {"rate-per-s": 1, "burst": float("nan")},
        ):
            plain = configuration_with(ROUTE)
            plain["tenants"] = [{"name": "ann", "api-keys": ["secret"], **change}]
            with self.subTest(change=change), self.assertRaises(UnreadableError) as caught:
                read_configuration(plain)
            self.assertNotIn("secret", str(caught.exception))


class ConfigurationTest(unittest.TestCase):
    def test_a_route_is_parsed(self) -> None:
        read = read_configuration(configuration_with(ROUTE))
        (route,) = read.routes
        self.assertEqual((read.version, route.kind), (7, CallKind.STREAM))
        self.assertEqual((route.timeout_s, route.target_latency_s, route.priority), (3.0, 0.25, 1))
        self.assertEqual(
            (route.retains_turns, route.turn_retention_s, route.resumable), (True, 60, True)
        )
        self.assertEqual(route.shares, (Share("s", 1.0),))
        engine = read.services["s"].engine
        assert engine is not None
        self.assertEqual((engine.slots, engine.tokens_per_event), (12, 23))

    def test_a_route_with_a_traffic_split_has_shares(self) -> None:
        split = [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]
        without_service = {key: value for key, value in ROUTE.items() if key != "service"}
        (route,) = read_configuration(
            configuration_with({**without_service, "traffic-split": split})
        ).routes
        self.assertEqual(route.shares, (Share("s", 90.0), Share("t", 10.0)))

    def test_why_a_value_is_unreadable_is_said_in_few_characters(self) -> None:
        with self.assertRaises(UnreadableError) as raised:
            read_replica("i-1", {**ENTRY, "state": "x" * 1_000_000})
        self.assertLess(len(str(raised.exception)), 500)

    def test_an_invalid_configuration_is_rejected(self) -> None:
        invalid = [
            None,
            [],
            {},
            configuration_with({**ROUTE, "kind": "new"}),
            configuration_with({key: value for key, value in ROUTE.items() if key != "timeout-ms"}),
            {**configuration_with(ROUTE), "version": "x"},
        ]
        for value in invalid:
            with self.subTest(value), self.assertRaises(UnreadableError):
                read_configuration(value)


class ReplicaTest(unittest.TestCase):
    def test_an_entry_is_parsed(self) -> None:
        replica = read_replica("i", ENTRY)
        self.assertEqual((replica.name, replica.address, replica.slots), ("i", "10.0.0.9:8080", 12))
        self.assertFalse(replica.leaving)
        self.assertEqual(replica.software, Software("s", "v1"))
        self.assertTrue(read_replica("i", {**ENTRY, "state": "draining"}).leaving)

    def test_an_invalid_entry_is_rejected(self) -> None:
        changes = [
            {"state": "resting"},
            {"state": 3},
            {"address": 5},
            {"address": "nowhere"},
            {"address": "10.0.0.9:port"},
            {"address": "10.0.0.9:65536"},
            {"address": "10.0.0.9:73807395"},
            {"address": "10.0.0.9:0"},
            {"address": "10.0.0.9:²"},
            {"address": "10.0.0.9:" + "9" * 5000},
            {"address": "10.0.0.\x00:80"},
            {"address": "10.0.0.300:80"},
            {"address": "host.example:80"},
            {"address": "\ud800:80"},
            {"service": None},
            {"zone": 1},
            {"version": 1},
        ]
        values = [{**ENTRY, **change} for change in changes]
        values += [
            {key: value for key, value in ENTRY.items() if key != name}
            for name in ("service", "address", "zone", "version", "state")
        ]
        for value in [*values, None, "text", 5, []]:
            with self.subTest(value), self.assertRaises(UnreadableError):
                read_replica("i", value)


class HeadersTest(unittest.TestCase):
    def test_the_headers_of_a_request_are_parsed(self) -> None:
        facts = wire.read_call(
            {
                "bramleylead-request-id": "q",
                "bramleylead-deadline-ms": "1500",
                "bramleylead-program-id": "p",
                "bramleylead-token-budget": "4600",
                "bramleylead-token-usage": "1840,575",
                "bramleylead-prompt-prefix": "a:800,b:410",
                "bramleylead-previous-turn": "t",
                "resumes": "q0",
            }
        )
        self.assertEqual(facts.resumed_request, "q0")
        self.assertEqual((facts.deadline_s, facts.budget_tokens), (1.5, 4600))
        self.assertEqual((facts.prompt_tokens, facts.max_output_tokens), (1840, 575))
        self.assertEqual(facts.prompt, (PromptPart("a", 800), PromptPart("b", 410)))
        self.assertEqual(facts.previous_turn, "t")

    def test_missing_or_invalid_headers_are_ignored(self) -> None:
        facts = wire.read_call({"bramleylead-deadline-ms": "soon"})
        self.assertIsNone(facts.deadline_s)
        self.assertIsNone(facts.budget_tokens)
        self.assertEqual((facts.prompt, facts.max_output_tokens), ((), 0))

    # Guards against str.isdigit, which accepts digits that int refuses.
    def test_a_superscript_is_no_number(self) -> None:
        self.assertEqual(wire.read_call({"bramleylead-token-usage": "²,²"}).max_output_tokens, 0)
        answer = wire.read_answer({"bramleylead-server-load": "²,1,8", "keep-alive": "timeout=²"})
        self.assertEqual((answer.load, answer.keep_alive_s), (None, None))

    def test_the_load_and_keep_alive_headers_of_an_answer_are_parsed(self) -> None:
        facts = wire.read_answer(
            {"bramleylead-server-load": "3,1,8", "keep-alive": "timeout=15, max=3"}
        )
        self.assertEqual((facts.load, facts.keep_alive_s), (Load(3, 1, 8), 15.0))
        self.assertIsNone(wire.read_answer({"bramleylead-server-load": "many"}).load)

    # Guards against dropping the whole header for the sake of a figure that isn't known.
    def test_further_figures_of_a_load_header_never_drop_the_first_three(self) -> None:
        expected = {
            "3,1,8,250": Load(3, 1, 8, 2.5),
            "3, 1, 8, 40, 7, x": Load(3, 1, 8, 0.4),
            "3,1,8,": Load(3, 1, 8),
            "3,1,8,fast,9": Load(3, 1, 8),
            "3,1,8,0": Load(3, 1, 8),
            "3,1,8,-5": Load(3, 1, 8),
            f"3,1,8,{'9' * 400}": Load(3, 1, 8),
            "3,1": None,
            "3,x,8,100": None,
        }
        for text, load in expected.items():
            with self.subTest(text=text):
                self.assertEqual(wire.read_answer({"bramleylead-server-load": text}).load, load)

    def test_hop_by_hop_headers_are_not_forwarded(self) -> None:
        received = [
            ("connection", "close, x-hop"),
            ("x-hop", "1"),
            ("x-end", "2"),
            ("transfer-encoding", "chunked"),
            ("keep-alive", "timeout=3"),
        ]
        self.assertEqual(wire.answer_headers(received), [("x-end", "2")])
        sent = wire.request_headers(
            received, remaining_s=1.0, replica="i", resume_after="", body_bytes=5
        )
        self.assertIn(("content-length", "5"), sent)
        self.assertNotIn("x-hop", dict(sent))
        self.assertNotIn("transfer-encoding", dict(sent))
