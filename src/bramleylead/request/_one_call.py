"""One-call programs, for callers that name no program, and the choice of a program's kind."""

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
    """Return the program kinds that a branch may run and that have a model."""
    allowed = config.branches[branch].program_kinds if branch in config.branches else ()
    return [
        name
        for name in allowed
        if name in config.program_kinds and model in config.program_kinds[name].models
    ]


def choose_kind(config: Config, branch: str, model: str) -> Result[str, Failure]:
    """Return the only kind of the branch that has the model."""
    kinds = kinds_with_model(config, branch, model)
    if len(kinds) == 1:
        return Ok(kinds[0])
    if not kinds:
        detail = f"model: {model}: no program kind of branch {branch} has it"
        return Err(Failure(ErrorKind.UNKNOWN_TARGET, detail))
    detail = f"Bramleylead-Kind: missing: must be one of {', '.join(kinds)}, which have {model}"
    return Err(Failure(ErrorKind.MALFORMED, detail))


def one_call_program(request: HttpRequest, key: str) -> str:
    """Return the id of a one-call program: the same for the same idempotency key."""
    if not key:
        return request.new_program()
    digest = hashlib.sha256(f"{request.branch}\n{key}".encode()).hexdigest()
    return f"k-{digest[:KEY_HASH_CHARACTERS]}"


async def open_for_call(
    request: HttpRequest, headers: CallHeaders, model: str
) -> Result[None, Failure]:
    """Open the program that a first call implies, if it does.

    That is a one-call program, or one whose first call names its kind. A call that names an
    incarnation or a later number continues a program, which must be there already.
    """
    first = headers.number <= 1 and headers.incarnation == 0
    if headers.program and not (headers.kind and first):
        return Ok(None)
    kind: Result[str, Failure] = Ok(headers.kind)
    if not headers.kind:
        kind = choose_kind(request.service.config, request.branch, model)
    if isinstance(kind, Err):
        return kind
    message = OpenProgram(request.branch, request.place.program, kind.ok_value)
    opened = await request.service.open_program(message)
    return opened.map(lambda _: None)


async def end_one_call(request: HttpRequest) -> None:
    """End a one-call program, also when its caller has gone."""
    with anyio.move_on_after(END_TIMEOUT_S, shield=True):
        await request.service.end_program(EndProgram(request.branch, request.place.program))
