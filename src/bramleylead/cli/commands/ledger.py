"""``bramleylead ledger``: runs a node of a deployment's ledger."""

from __future__ import annotations

from absl import flags

from bramleylead.cli._registry import command
from bramleylead.cli._site_process import define_settings_flag
from bramleylead.cli._site_process import run_site_process
from bramleylead.ledger._run import run_ledger
from bramleylead.site_settings import LedgerSettings


@command(
    "ledger",
    summary="Runs a node that keeps turns and budgets on its disk until SIGTERM.",
    define_flags=define_settings_flag,
)
def run(values: flags.FlagValues, words: list[str]) -> int:
    """Check the settings whole, then serve until a signal."""
    return run_site_process("ledger", LedgerSettings, run_ledger, values)
