"""What a deployment starts from fits the product."""

from __future__ import annotations

import json
import re
import tomllib
import unittest
from pathlib import Path

from result import Ok

from bramleylead.site_settings import GatewaySettings
from bramleylead.site_settings import LedgerSettings
from bramleylead.site_settings import load_settings

ROOT = Path(__file__).resolve().parent.parent
VALUES = {
    "node-name": "gateway-1",
    "region": "r",
    "zone": "d",
    "zones": {"d": "r"},
    "ip-address": "10.0.0.1",
    "internal-ports": [7380, 7395],
    "platform.address": "10.0.0.9:8142",
    "fault-tolerance.machines": 1,
    "bounds.grace-s": 8,
    "listen-addresses.front": "10.0.0.1:8149",
    "listen-addresses.ready": "10.0.0.1:8141",
    "data-directory": "/data/ledger",
    "seed-nodes": ["10.0.0.2:8144", "10.0.0.3:8144"],
    "contracts": ["base", "pressure"],
}


def filled(name: str) -> str:
    """Return a template with values in place of its placeholders."""

    def value(found: re.Match[str]) -> str:
        given = VALUES[found[1]]
        return json.dumps(given) if found[2] else str(given)

    def section(found: re.Match[str]) -> str:
        parts = [found[2].replace("{{.|json}}", json.dumps(entry)) for entry in VALUES[found[1]]]
        return "".join(part.replace("{{,}}", "" if part is parts[-1] else ",") for part in parts)

    text = (ROOT / "deploy" / name).read_text()
    text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, text)
    return re.sub(r"\{\{([^}|]+)(\|json)?\}\}", value, text)


class DeployTest(unittest.TestCase):
    def test_the_templates_make_settings_that_are_accepted(self) -> None:
        for name, model in (("gateway.json", GatewaySettings), ("ledger.json", LedgerSettings)):
            with self.subTest(name):
                self.assertIsInstance(load_settings(model, filled(name)), Ok)

    # Guards against rules of one deployment that change how another one is served.
    def test_memory_is_bounded_where_the_platform_says_so(self) -> None:
        settings = load_settings(GatewaySettings, filled("gateway.json")).ok_value
        self.assertTrue(settings.bounds_memory)
        changed = filled("gateway.json").replace('"pressure"', '"health"')
        self.assertFalse(load_settings(GatewaySettings, changed).ok_value.bounds_memory)

    def test_each_role_runs_a_command_with_its_template(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        for role, about in deploy["roles"].items():
            with self.subTest(role):
                self.assertTrue(about["run"].endswith(f"bramleylead {role}"))
                self.assertTrue((ROOT / about["template"]).exists())

    # Guards against files of the working folder that shadow modules, and a look there for each one.
    def test_no_role_imports_from_its_working_folder(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        for role, about in deploy["roles"].items():
            with self.subTest(role):
                self.assertTrue(about["run"].startswith("python3 -P -m "))

    def test_what_the_roles_need_is_pinned_as_everywhere(self) -> None:
        pinned = set((ROOT / "requirements" / "run.txt").read_text().split())
        site = set((ROOT / "requirements" / "site.txt").read_text().split())
        self.assertLess(site, pinned)
