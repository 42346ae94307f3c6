"""One-call programs for calls that name no program, and the choice of a program's kind."""

from __future__ import annotations

import hashlib

import anyio
from result import Err
from result import Ok
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.request._http_bodies import CallHeaders
from bramleylead.request._http_routes import HttpRequest
from bramleylead.request._messages import EndProgram
from bramleylead.request._messages import OpenProgram
from bramleylead.version import Config

END_TIMEOUT_S = 5.0
KEY_HASH_CHARACTERS = 32


def kinds_with_model(config: Config, branch: str, model: str) -> list[str]:
    """Return the program kinds that a branch may run and that include a model."""
    allowed = config.branches[branch].program_kinds if branch in config.branches else ()
    return [
        name
        for name in allowed
        if name in config.program_kinds and model in config.program_kinds[name].models
    ]


def choose_kind(config: Config, branch: str, model: str) -> Result[str, Failure]:
    """Return the branch's only kind that includes the model; fail if there is none or several."""
    kinds = kinds_with_model(config, branch, model)
    if len(kinds) == 1:
        return Ok(kinds[0])
    if not kinds:
        detail = f"model: {model}: no program kind of branch {branch} includes it"
        return Err(Failure(ErrorKind.UNKNOWN_TARGET, detail))
    detail = f"Bramleylead-Kind: missing: must be one of {', '.join(kinds)}, which include {model}"
    return Err(Failure(ErrorKind.MALFORMED, detail))


def one_call_program_id(request: HttpRequest, key: str) -> str:
    """Return the id of a one-call program; the same idempotency key gives the same id."""
    if not key:
        return request.new_program_id()
    digest = hashlib.sha256(f"{request.branch}\n{key}".encode()).hexdigest()
    return f"k-{digest[:KEY_HASH_CHARACTERS]}"


async def open_implied_program(
    request: HttpRequest, headers: CallHeaders, model: str
) -> Result[None, Failure]:
    """Open the program if this is a first call that implies opening it.

    That is the case for a one-call program, or if the first call names the program's kind. A call
    that names an incarnation or a later number continues a program, which must already exist.
    """
    first = headers.number <= 1 and headers.incarnation == 0
    if headers.program and not (headers.kind and first):
        return Ok(None)
    kind: Result[str, Failure] = Ok(headers.kind)
    if not headers.kind:
        kind = choose_kind(request.service.config, request.branch, model)
    if isinstance(kind, Err):
        return kind
    message = OpenProgram(request.branch, request.call_ref.program, kind.ok_value)
    opened = await request.service.open_program(message)
    return opened.map(lambda _: None)


async def end_one_call_program(request: HttpRequest) -> None:
    """End a one-call program, even if its caller has disconnected."""
    with anyio.move_on_after(END_TIMEOUT_S, shield=True):
        await request.service.end_program(EndProgram(request.branch, request.call_ref.program))
