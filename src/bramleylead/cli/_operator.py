"""A small HTTP client for operators' commands, and the flags that they share."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any
from typing import NamedTuple
from typing import Self
from typing import final

import httpcore
from absl import flags
from result import Err
from result import Ok
from result import Result

from bramleylead.cli._exit import ExitCode
from bramleylead.json_input import decode_json

KEY_VARIABLE = "BRAMLEYLEAD_OPERATOR_KEY"
REQUEST_TIMEOUT_S = 10.0
FIRST_ERROR_STATUS = 400


class Trouble(NamedTuple):
    """Why a request brought no answer.

    :param line: what to show.
    :param may_pass: whether the same request may succeed later.
    """

    code: ExitCode
    line: str
    may_pass: bool = False


def define_key_flag(values: flags.FlagValues) -> None:
    """Define the flag for the operators' key; the key itself never stands on a command line."""
    flags.DEFINE_string(
        "key_file",
        "",
        f"File with the operators' key. Without it the variable {KEY_VARIABLE} is read.",
        flag_values=values,
    )


def read_key(values: flags.FlagValues) -> Result[str, Trouble]:
    """Return the operators' key from the file or the environment."""
    if not values.key_file:
        key = os.environ.get(KEY_VARIABLE, "")
        if key:
            return Ok(key)
        line = f"key: missing: name a file by --key_file or set {KEY_VARIABLE}"
        return Err(Trouble(ExitCode.USAGE, line))
    try:
        return Ok(Path(values.key_file).read_text().strip())
    except (OSError, UnicodeDecodeError) as error:
        line = f"--key_file: {values.key_file}: must be a readable file: {error}"
        return Err(Trouble(ExitCode.USAGE, line))


@final
class OperatorClient:
    """Speaks to one node's operator interface."""

    def __init__(self, address: str, key: str) -> None:
        self._address = address
        self._key = key
        self._pool = httpcore.ConnectionPool()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._pool.close()

    def request(
        self, method: str, path: str, body: bytes | None = None
    ) -> Result[dict[str, Any], Trouble]:
        """Send one request and return the JSON of a successful answer."""
        headers = {"Authorization": f"Bearer {self._key}"}
        limits = dict.fromkeys(("connect", "read", "write", "pool"), REQUEST_TIMEOUT_S)
        try:
            response = self._pool.request(
                method,
                f"http://{self._address}{path}",
                headers=headers,
                content=body,
                extensions={"timeout": limits},
            )
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError) as error:
            reason = str(error) or type(error).__name__
            line = f"{self._address}: no answer: {reason}"
            return Err(Trouble(ExitCode.UNREACHABLE, line, may_pass=True))
        return _read_answer(self._address, response)


def _read_answer(address: str, response: httpcore.Response) -> Result[dict[str, Any], Trouble]:
    try:
        document = decode_json(response.content)
    except ValueError:
        line = f"{address}: status {response.status}: the answer is no JSON"
        return Err(Trouble(ExitCode.UNREACHABLE, line))
    if response.status < FIRST_ERROR_STATUS:
        return Ok(document)
    error = document.get("error", {})
    line = f"{error.get('error_kind')} ({response.status}): {error.get('detail')}"
    may_pass = error.get("retry_after_s") is not None
    return Err(Trouble(ExitCode.REFUSED, line, may_pass=may_pass))
