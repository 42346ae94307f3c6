"""All faults of a settings file are reported at once, one line each."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from result import Ok

from bramleylead.process._settings_file import check_together
from bramleylead.process._settings_file import load_settings
from bramleylead.process._settings_file import parse_settings
from bramleylead.request import hash_key

GOOD: dict[str, Any] = {
    "node": "n1",
    "region": "r1",
    "data_centre": "d1",
    "peer_address": "127.0.0.1:7001",
    "http_address": "127.0.0.1:8001",
    "cluster_key": "a shared key of the cluster",
    "operator_key_sha256": hash_key("operators"),
}


def faults(**changes: Any) -> list[str]:
    loaded = parse_settings(json.dumps({**GOOD, **changes}))
    return [str(fault) for fault in loaded.err_value]


class SettingsTest(unittest.TestCase):
    def test_good_settings_are_loaded(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "node.json")
            path.write_text(json.dumps(GOOD))
            self.assertEqual(load_settings(path).ok_value.node, "n1")

    def test_a_missing_file(self) -> None:
        (fault,) = load_settings(Path("/nowhere/node.json")).err_value
        self.assertIn("/nowhere/node.json: must be a readable file", str(fault))

    def test_unknown_keys_wrong_types_and_invalid_values_are_reported_together(self) -> None:
        found = faults(nodde="x", stop_grace_s=0, partitions={"count": "48"})
        self.assertEqual(
            [line.split(":")[0] for line in found], ["partitions.count", "stop_grace_s", "nodde"]
        )
        self.assertIn("must be greater than 0", found[1])

    def test_invalid_combinations_name_the_field(self) -> None:
        for changes, path in (
            ({"http_address": "127.0.0.1:7001"}, "http_address"),
            ({"http_address": "127.0.0.300:80"}, "http_address"),
            ({"partitions": {"heartbeat_s": 1.0}}, "partitions.takeover_after_s"),
            ({"partitions": {"act_lease_s": 2.5}}, "partitions.act_lease_s"),
            ({"membership": {"probe_timeout_s": 2.0}}, "membership.probe_timeout_s"),
            ({"tickets": {"watch_s": 3.0}}, "tickets.watch_s"),
            ({"store": {"kind": "folder"}}, "store.location"),
            ({"store": {"kind": "http", "location": "http://store:80"}}, "store.location"),
            ({"store": {"kind": "http", "location": "ftp://1.2.3.4:80"}}, "store.location"),
            ({"store": {"location": "/data"}}, "store.location"),
            ({"operator_key_sha256": hash_key(GOOD["cluster_key"])}, "cluster_key"),
        ):
            with self.subTest(changes=changes):
                found = faults(**changes)
                self.assertEqual([line.split(":")[0] for line in found], [path])

    def test_the_cluster_key_is_not_shown(self) -> None:
        (fault,) = faults(cluster_key="short")
        self.assertNotIn("short", fault)

    def test_an_http_store_location_may_be_an_ip_address(self) -> None:
        store = {"kind": "http", "location": "http://127.0.0.1:9000"}
        self.assertIsInstance(parse_settings(json.dumps({**GOOD, "store": store})), Ok)

    def test_nodes_of_one_deployment_must_not_conflict(self) -> None:
        first = parse_settings(json.dumps(GOOD)).ok_value
        clash = {**GOOD, "node": "n2", "http_address": "127.0.0.1:8002", "cluster_key": "b" * 16}
        second = parse_settings(json.dumps(clash)).ok_value
        found = [str(fault) for fault in check_together({"a.json": first, "b.json": second})]
        self.assertEqual(
            found,
            [
                "b.json: peer_address: 127.0.0.1:7001: a.json: peer_address has it already",
                "b.json: cluster_key: (hidden): must be the one in a.json",
            ],
        )


if __name__ == "__main__":
    unittest.main()
