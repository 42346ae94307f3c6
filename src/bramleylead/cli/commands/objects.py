"""``bramleylead objects``: a stand-in for the platform's object API."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from absl import flags

from bramleylead.cli._registry import command
from bramleylead.cli._stand_in import define_address_flag
from bramleylead.cli._stand_in import serve_until_signal
from bramleylead.platform import MemoryStore
from bramleylead.platform import open_folder
from bramleylead.standins import serve_objects

DEFAULT_ADDRESS = "127.0.0.1:8100"


def _define_flags(values: flags.FlagValues) -> None:
    define_address_flag(values, DEFAULT_ADDRESS)
    flags.DEFINE_string(
        "folder", "", "Keep the objects under this folder; empty: in memory.", flag_values=values
    )


@command(
    "objects",
    summary="Serves a stand-in for the platform's object API.",
    define_flags=_define_flags,
)
def run(values: flags.FlagValues, words: list[str]) -> int:
    """Serve until a signal."""

    @asynccontextmanager
    async def serve(address: str) -> AsyncIterator[str]:
        if not values.folder:
            async with serve_objects(MemoryStore(), address) as bound:
                yield bound
            return
        async with (
            open_folder(Path(values.folder)) as store,
            serve_objects(store, address) as bound,
        ):
            yield bound

    return serve_until_signal("objects", values.address, serve)
