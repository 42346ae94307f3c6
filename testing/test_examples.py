"""The files in ``examples/`` are good, and say what the users need."""

from __future__ import annotations

import json
import unittest
from pathlib import Path

from bramleylead.node_settings import NodeSettings
from bramleylead.process._settings_file import check_together
from bramleylead.process._settings_file import load_settings
from bramleylead.request import find_branch
from bramleylead.request import key_matches
from bramleylead.version import Config
from bramleylead.version import EndpointKind
from bramleylead.version import apply_ticket
from bramleylead.version import validate_ticket

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
USERS = ("aspenhold", "ratsakool")
NOT_REPEATABLE = {
    "aspenhold": {"issue_certificate", "charge_fee"},
    "ratsakool": {"place_booking", "charge_deposit", "order_farrier"},
}
APPLICATION_REPLICAS = {"aspenhold": 4, "ratsakool": 3}


def nodes_of(user: str) -> dict[str, NodeSettings]:
    found = sorted((EXAMPLES / user / "nodes").glob("*.json"))
    return {path.name: load_settings(path).unwrap() for path in found}


def config_of(user: str) -> Config:
    config = Config()
    for path in sorted((EXAMPLES / user / "tickets").glob("*.json")):
        config = apply_ticket(config, validate_ticket(path.read_bytes(), config).unwrap())
    return config


class ExamplesTest(unittest.TestCase):
    def test_six_nodes_in_three_regions_run_together(self) -> None:
        everyone: dict[str, NodeSettings] = {}
        for user in USERS:
            nodes = nodes_of(user)
            self.assertEqual(len(nodes), 6)
            self.assertEqual(len({node.region for node in nodes.values()}), 3)
            self.assertEqual(check_together(nodes), ())
            everyone |= {f"{user}/{name}": node for name, node in nodes.items()}
        addresses = {node.http_address for node in everyone.values()}
        addresses |= {node.peer_address for node in everyone.values()}
        self.assertEqual(len(addresses), 24)

    def test_effects_in_the_world_are_not_repeatable(self) -> None:
        for user in USERS:
            tools: dict[str, bool] = {}
            for kind in config_of(user).program_kinds.values():
                tools |= {name: tool.repeatable for name, tool in kind.tools.items()}
            once = {name for name, repeatable in tools.items() if not repeatable}
            self.assertEqual(once, NOT_REPEATABLE[user])

    def test_endpoints_are_as_many_as_today(self) -> None:
        for user in USERS:
            kinds = [endpoint.kind for endpoint in config_of(user).endpoints.values()]
            self.assertEqual(kinds.count(EndpointKind.ENGINE), 9)
            self.assertEqual(kinds.count(EndpointKind.SERVICE), APPLICATION_REPLICAS[user])

    def test_the_keys_fit(self) -> None:
        for user in USERS:
            keys = json.loads((EXAMPLES / user / "keys.json").read_text())
            config = config_of(user)
            for branch, key in keys["branches"].items():
                self.assertEqual(find_branch(config, key), branch)
            for node in nodes_of(user).values():
                self.assertTrue(key_matches(keys["operator"], node.operator_key_sha256))

    def test_regions_of_branches_have_nodes_and_endpoints(self) -> None:
        for user in USERS:
            regions = {node.region for node in nodes_of(user).values()}
            config = config_of(user)
            self.assertEqual({item.region for item in config.endpoints.values()}, regions)
            self.assertLessEqual({item.home_region for item in config.branches.values()}, regions)

    def test_the_second_ticket_makes_an_engine_leave(self) -> None:
        for user in USERS:
            leaving = [item for item in config_of(user).endpoints.values() if item.leaving]
            self.assertEqual(len(leaving), 1)


if __name__ == "__main__":
    unittest.main()
