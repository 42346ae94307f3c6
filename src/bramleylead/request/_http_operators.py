"""Routes for operators (tickets, state dump) and public routes (health probes, metrics)."""

from __future__ import annotations

import re
from typing import Any

from result import Err
from result import Ok
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.http._responses import success_fields
from bramleylead.request._http_bodies import NUMBER_PATTERN
from bramleylead.request._http_routes import Access
from bramleylead.request._http_routes import HttpRequest
from bramleylead.request._http_routes import route

PLAIN_TYPE = "text/plain; charset=utf-8"


@route("POST", "/v1/tickets", access=Access.OPERATOR)
async def submit_ticket(request: HttpRequest) -> Result[None, Failure]:
    """Accept a ticket under its number, or reject it without any effect."""
    body = await request.read_bytes()
    if isinstance(body, Err):
        return body
    accepted = await request.service.submit_ticket(body.ok_value)
    if isinstance(accepted, Err):
        return accepted
    status = 200 if accepted.ok_value.repeated else 201
    return await _respond(request, accepted.ok_value._asdict(), status=status)


@route("GET", "/v1/tickets", access=Access.OPERATOR)
async def list_tickets(request: HttpRequest) -> Result[None, Failure]:
    """List the accepted tickets."""
    found = await request.service.list_tickets()
    if isinstance(found, Err):
        return found
    return await _respond(request, {"tickets": [item._asdict() for item in found.ok_value]})


@route("GET", "/v1/tickets/{number}", access=Access.OPERATOR)
async def show_ticket(request: HttpRequest) -> Result[None, Failure]:
    """Show one ticket."""
    number = _read_number(request)
    if isinstance(number, Err):
        return number
    found = await request.service.show_ticket(number.ok_value)
    if isinstance(found, Err):
        return found
    return await _respond(request, {"ticket": found.ok_value})


@route("GET", "/v1/tickets/{number}/status", access=Access.OPERATOR)
async def show_ticket_status(request: HttpRequest) -> Result[None, Failure]:
    """Report on which nodes a ticket is in force, and on which it is missing."""
    number = _read_number(request)
    if isinstance(number, Err):
        return number
    found = await request.service.ticket_status(number.ok_value)
    if isinstance(found, Err):
        return found
    status = found.ok_value
    body = {**status._asdict(), "nodes": [item._asdict() for item in status.nodes]}
    return await _respond(request, body)


@route("GET", "/dump", access=Access.OPERATOR)
async def dump_state(request: HttpRequest) -> Result[None, Failure]:
    """Send the process's whole state without secrets."""
    return await request.respond_json(200, request.service.dump())


@route("GET", "/dump/calls/{program}/{number}", access=Access.OPERATOR)
async def explain_call(request: HttpRequest) -> Result[None, Failure]:
    """Report what this node knows about one call, including why its endpoint was chosen."""
    number = _read_number(request, "call number")
    if isinstance(number, Err):
        return number
    found = request.service.explain(request.arguments["program"], number.ok_value)
    return await request.respond_json(200, found)


@route("GET", "/metrics", access=Access.PUBLIC)
async def show_metrics(request: HttpRequest) -> Result[None, Failure]:
    """Send the metrics in the format that the scraper accepts."""
    accept = request.exchange.headers.get("accept", "")
    page, content_type = request.service.metrics.render(accept)
    await request.exchange.respond(200, page, [("content-type", content_type)])
    return Ok(None)


@route("GET", "/healthz", access=Access.PUBLIC)
async def show_health(request: HttpRequest) -> Result[None, Failure]:
    """Liveness probe."""
    return await _respond_probe(request, request.service.alive())


@route("GET", "/readyz", access=Access.PUBLIC)
async def show_readiness(request: HttpRequest) -> Result[None, Failure]:
    """Readiness probe: whether the load balancer should send callers here."""
    return await _respond_probe(request, request.service.ready())


async def _respond_probe(request: HttpRequest, healthy: bool) -> Result[None, Failure]:
    status, body = (200, b"ok\n") if healthy else (503, b"no\n")
    await request.exchange.respond(status, body, [("content-type", PLAIN_TYPE)])
    return Ok(None)


async def _respond(
    request: HttpRequest, body: dict[str, Any], *, status: int = 200
) -> Result[None, Failure]:
    body["bramleylead"] = success_fields(request.call_ref, status=status)
    return await request.respond_json(status, body)


def _read_number(request: HttpRequest, name: str = "ticket number") -> Result[int, Failure]:
    number = request.arguments["number"]
    if re.fullmatch(NUMBER_PATTERN, number):
        return Ok(int(number))
    detail = f"{name}: {number}: must be a whole number"
    return Err(Failure(ErrorKind.MALFORMED, detail))
