"""``bramleylead bench``: runs one bench, or lists them."""

from __future__ import annotations

import sys

from absl import flags

from bramleylead.bench import load_benches
from bramleylead.cli._exit import ExitCode
from bramleylead.cli._registry import command


@command(
    "bench",
    usage="[NAME [-- ARGUMENTS]]",
    summary="Runs a bench and prints its figures as JSON lines; without a name, lists them.",
)
def run(values: flags.FlagValues, words: list[str]) -> int:
    """Run the named bench with the remaining words."""
    benches = load_benches()
    if not words:
        print("\n".join(sorted(benches)) or "no benches")
        return ExitCode.OK
    if words[0] not in benches:
        known = ", ".join(sorted(benches)) or "(none)"
        print(f"bench: {words[0]}: must be one of {known}", file=sys.stderr)
        return ExitCode.USAGE
    return benches[words[0]](words[1:])
