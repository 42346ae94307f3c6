"""A ticket is checked whole before it is accepted."""

from __future__ import annotations

import json
import unittest
from typing import Any

from result import Ok

from bramleylead.version import Config
from bramleylead.version import apply_ticket
from bramleylead.version import parse_ticket
from bramleylead.version import validate_ticket
from bramleylead.version._validation import MAX_TICKET_BYTES

BRANCH = {"key_sha256": "a" * 64, "budget": "main", "program_kinds": ["exam"]}
ENGINE = {
    "kind": "engine",
    "address": "127.0.0.1:9001",
    "serves": "tutor",
    "region": "r1",
    "data_centre": "d1",
}
RECORDS = {**ENGINE, "kind": "service", "address": "127.0.0.1:9002", "serves": "records"}
KIND = {
    "models": ["tutor"],
    "tools": {"issue": {"endpoint_group": "records", "repeatable": False}},
}
FIRST: dict[str, Any] = {
    "number": 1,
    "author": "ann",
    "branches": {"prairie": BRANCH},
    "program_kinds": {"exam": KIND},
    "budgets": {"main": {"limit": 100}},
    "endpoints": {"engine-1": ENGINE, "records-1": RECORDS},
}


def in_force() -> Config:
    return apply_ticket(Config(), parse_ticket(json.dumps(FIRST)).ok_value)


def faults(config: Config, **ticket: Any) -> list[str]:
    body = json.dumps({"number": config.number + 1, "author": "ann", **ticket})
    return [str(fault) for fault in validate_ticket(body, config).err_value]


class TicketTest(unittest.TestCase):
    def test_a_whole_first_ticket_is_good(self) -> None:
        self.assertIsInstance(validate_ticket(json.dumps(FIRST), Config()), Ok)

    def test_an_empty_ticket_can_fill_a_gap(self) -> None:
        self.assertIsInstance(validate_ticket('{"number": 2, "author": "ann"}', in_force()), Ok)

    def test_names_that_nothing_bears_are_all_faults(self) -> None:
        branch = {**BRANCH, "key_sha256": "b" * 64, "budget": "mian", "program_kinds": ["exma"]}
        kind = {"models": ["giant"], "tools": {"t": {"endpoint_group": "x", "repeatable": True}}}
        self.assertEqual(
            faults(in_force(), branches={"b2": branch}, program_kinds={"k2": kind}),
            [
                'branches.b2.budget: "mian": must be one of the budgets: main',
                'branches.b2.program_kinds.0: "exma": must be one of the program kinds: exam, k2',
                'program_kinds.k2.models.0: "giant": must be one of the models of engines: tutor',
                'program_kinds.k2.tools.t.endpoint_group: "x": '
                "must be one of the groups of services: records",
            ],
        )

    def test_what_is_still_used_can_not_be_removed(self) -> None:
        (fault,) = faults(in_force(), remove_budgets=["main"])
        self.assertIn("the ticket takes away what branches.prairie.budget still uses", fault)
        (fault,) = faults(in_force(), remove_endpoints=["engine-1"])
        self.assertIn("program_kinds.exam.models.0 still uses", fault)

    def test_an_endpoint_that_changes_what_it_serves_can_leave_a_model_without_one(self) -> None:
        (fault,) = faults(in_force(), endpoints={"engine-1": {**ENGINE, "serves": "other"}})
        self.assertIn("program_kinds.exam.models.0 still uses", fault)

    def test_nothing_is_both_changed_and_removed(self) -> None:
        found = faults(in_force(), budgets={"main": {"limit": 5}}, remove_budgets=["main"])
        self.assertIn("can't be both changed in budgets and removed", found[0])

    def test_what_is_removed_must_be_there_and_be_named_once(self) -> None:
        found = faults(in_force(), remove_branches=["prairy", "prairie", "prairie"])
        self.assertEqual(
            found,
            [
                'remove_branches.0: "prairy": must be one of prairie',
                'remove_branches.2: "prairie": may be named once',
            ],
        )

    def test_keys_and_addresses_are_not_shared(self) -> None:
        (fault,) = faults(in_force(), branches={"b2": BRANCH})
        self.assertIn("branches.b2.key_sha256", fault)
        self.assertIn("prairie has it already", fault)
        (fault,) = faults(in_force(), endpoints={"engine-2": ENGINE})
        self.assertIn("engine-1 has it already", fault)

    def test_addresses_are_ip_numbers_with_a_port(self) -> None:
        for address in ("1.2.3:90", "1.2.3.4:0", "1.2.3.4:70000", "::1:90", "[1.2.3.4]:90"):
            with self.subTest(address=address):
                found = faults(in_force(), endpoints={"e2": {**ENGINE, "address": address}})
                self.assertTrue(found[0].startswith(f'endpoints.e2.address: "{address}": '), found)

    def test_faults_of_form_name_path_value_and_what_is_allowed(self) -> None:
        (fault,) = faults(in_force(), budgets={"main": {"limit": -1}})
        self.assertEqual(fault, "budgets.main.limit: -1: must be greater than or equal to 0")
        (fault,) = faults(in_force(), budget={})
        self.assertTrue(fault.startswith("budget: {}: unknown key, allowed are number, author"))
        (fault,) = faults(in_force(), endpoints={"e": {**ENGINE, "kind": "toaster"}})
        self.assertEqual(fault, "endpoints.e.kind: \"toaster\": must be 'engine' or 'service'")

    def test_a_ticket_fits_into_one_object(self) -> None:
        (fault,) = parse_ticket(b" " * (MAX_TICKET_BYTES + 1)).err_value
        self.assertIn(f"at most {MAX_TICKET_BYTES}", str(fault))


if __name__ == "__main__":
    unittest.main()
