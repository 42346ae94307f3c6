"""``bramleylead gateway``: runs a gateway of a deployment."""

from __future__ import annotations

from absl import flags

from bramleylead.cli._registry import command
from bramleylead.cli._site_process import define_settings_flag
from bramleylead.cli._site_process import run_site_process
from bramleylead.gateway._run import run_gateway
from bramleylead.site_settings import GatewaySettings


@command(
    "gateway",
    summary="Runs a gateway before the replicas of a deployment until SIGTERM.",
    define_flags=define_settings_flag,
)
def run(values: flags.FlagValues, words: list[str]) -> int:
    """Check the settings whole, then serve until a signal."""
    return run_site_process("gateway", GatewaySettings, run_gateway, values)
