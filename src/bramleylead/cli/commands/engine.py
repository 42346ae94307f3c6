"""``bramleylead engine``: a stand-in for a model engine."""

from __future__ import annotations

import random
import sys

from absl import flags
from result import Err

from bramleylead.cli._exit import ExitCode
from bramleylead.cli._registry import command
from bramleylead.cli._stand_in import define_address_flag
from bramleylead.cli._stand_in import load_file
from bramleylead.cli._stand_in import serve_until_signal
from bramleylead.standins import EngineModelSettings
from bramleylead.standins import FakeEngine
from bramleylead.standins import serve_engine

DEFAULT_ADDRESS = "127.0.0.1:8200"


def _define_flags(values: flags.FlagValues) -> None:
    define_address_flag(values, DEFAULT_ADDRESS)
    flags.DEFINE_string("name", "engine", "Its name in messages.", flag_values=values)
    flags.DEFINE_string(
        "settings",
        "",
        "JSON file with constants of the engine; empty: defaults.",
        flag_values=values,
    )
    flags.DEFINE_list(
        "models", [], "Models it has loaded, in place of the file's.", flag_values=values
    )
    flags.DEFINE_integer("seed", 1, "Seed of its random faults.", flag_values=values)


@command("engine", summary="Serves a stand-in for a model engine.", define_flags=_define_flags)
def run(values: flags.FlagValues, words: list[str]) -> int:
    """Serve until a signal."""
    loaded = load_file(EngineModelSettings, values.settings)
    if isinstance(loaded, Err):
        print("\n".join(f"engine: {line}" for line in loaded.err_value), file=sys.stderr)
        return ExitCode.INVALID
    settings = loaded.ok_value
    if values.models:
        settings = settings.model_copy(update={"models": tuple(values.models)})
    engine = FakeEngine(values.name, settings, rng=random.Random(values.seed))
    return serve_until_signal(
        "engine", values.address, lambda address: serve_engine(engine, address)
    )
