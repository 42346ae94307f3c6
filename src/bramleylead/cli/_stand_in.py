"""What the commands of the stand-ins have in common: serve at an address until a signal."""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from pathlib import Path
from typing import TypeVar

import anyio
from absl import flags
from pydantic import BaseModel
from result import Err
from result import Ok
from result import Result

from bramleylead.cli._exit import ExitCode
from bramleylead.connection._tcp import split_address
from bramleylead.validation import load_model

_Model = TypeVar("_Model", bound=BaseModel)


def define_address_flag(values: flags.FlagValues, default: str) -> None:
    """Define ``--address``."""
    flags.DEFINE_string(
        "address", default, "IP:PORT to listen at; port 0 takes a free one.", flag_values=values
    )


def serve_until_signal(
    command: str, address: str, serve: Callable[[str], AbstractAsyncContextManager[str]]
) -> int:
    """Print the bound address as the first line and serve until SIGINT or SIGTERM."""
    try:
        split_address(address)
        anyio.run(_serve, serve, address)
    except (OSError, ValueError) as error:
        print(f"{command}: {address}: {error}", file=sys.stderr)
        return ExitCode.INVALID
    return ExitCode.OK


def load_file(model: type[_Model], path: str) -> Result[_Model, list[str]]:
    """Read a JSON file into a model; an empty path gives the defaults."""
    if not path:
        return Ok(model())
    try:
        text = Path(path).read_bytes()
    except OSError as error:
        return Err([f"{path}: {error.strerror}"])
    loaded = load_model(model, text)
    if isinstance(loaded, Err):
        return Err([f"{path}: {fault}" for fault in loaded.err_value])
    return loaded


async def _serve(serve: Callable[[str], AbstractAsyncContextManager[str]], address: str) -> None:
    with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async with serve(address) as bound:
            print(bound, flush=True)
            async for _ in signals:
                return
