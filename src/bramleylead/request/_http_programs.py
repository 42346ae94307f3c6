"""Routes for callers that open, read and end programs."""

from __future__ import annotations

from typing import Any

from result import Err
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.http._responses import success_fields
from bramleylead.request._http_bodies import OpenProgramBody
from bramleylead.request._http_routes import Access
from bramleylead.request._http_routes import HttpRequest
from bramleylead.request._http_routes import route
from bramleylead.request._messages import EndProgram
from bramleylead.request._messages import OpenProgram
from bramleylead.request._messages import ProgramView
from bramleylead.request._messages import ReadProgram

TRUE_VALUES = ("1", "true", "yes")


@route("POST", "/v1/programs", access=Access.CALLER, new_work=True)
async def open_program(request: HttpRequest) -> Result[None, Failure]:
    """Open a program, or a sub-agent's program under its parent; idempotent."""
    body = await request.read_model(OpenProgramBody)
    if isinstance(body, Err):
        return body
    requested = body.ok_value
    kind = requested.kind or _only_kind(request)
    if not kind:
        detail = f"body: kind: missing: must be one of {', '.join(_allowed_kinds(request))}"
        return Err(Failure(ErrorKind.MALFORMED, detail))
    request.call_ref.program = requested.program or request.new_program_id()
    message = OpenProgram(request.branch, request.call_ref.program, kind, requested.parent or "")
    return await _respond_program(request, await request.service.open_program(message), status=201)


@route("GET", "/v1/programs/{program}", access=Access.CALLER)
async def read_program(request: HttpRequest) -> Result[None, Failure]:
    """Read a program's state; ``?history=1`` adds its conversation."""
    request.call_ref.program = request.arguments["program"]
    history = request.exchange.query.get("history", "") in TRUE_VALUES
    message = ReadProgram(request.branch, request.call_ref.program, history)
    return await _respond_program(request, await request.service.read_program(message))


@route("DELETE", "/v1/programs/{program}", access=Access.CALLER)
async def end_program(request: HttpRequest) -> Result[None, Failure]:
    """End a program and its sub-agents."""
    request.call_ref.program = request.arguments["program"]
    message = EndProgram(request.branch, request.call_ref.program)
    return await _respond_program(request, await request.service.end_program(message))


async def _respond_program(
    request: HttpRequest, result: Result[ProgramView, Failure], *, status: int = 200
) -> Result[None, Failure]:
    if isinstance(result, Err):
        return result
    view = result.ok_value
    request.call_ref.incarnation = view.incarnation
    body = _program_to_json(view)
    body["bramleylead"] = success_fields(request.call_ref, status=status)
    return await request.respond_json(status, body)


def _program_to_json(view: ProgramView) -> dict[str, Any]:
    calls = [
        {"number": number, "kind": kind, "target": target, "status": status, "answer": answer}
        for number, kind, target, status, answer in view.calls
    ]
    messages = [{"role": role, "content": content} for role, content in view.messages]
    return {**view._asdict(), "messages": messages, "calls": calls}


def _allowed_kinds(request: HttpRequest) -> tuple[str, ...]:
    branch = request.service.config.branches.get(request.branch)
    return () if branch is None else branch.program_kinds


def _only_kind(request: HttpRequest) -> str:
    kinds = _allowed_kinds(request)
    return kinds[0] if len(kinds) == 1 else ""
