"""A fake tool service over HTTP, on the asyncio backend; see ``docs/endpoints.md``."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import anyio
from result import Err

from bramleylead.backends import ServiceCall
from bramleylead.standins._asgi import Answer
from bramleylead.standins._asgi import BadRequestError
from bramleylead.standins._asgi import Request
from bramleylead.standins._asgi import Routes
from bramleylead.standins._asgi import json_answer
from bramleylead.standins._engine_server import refusal
from bramleylead.standins._service import FakeService
from bramleylead.standins._serving import serve_app

TOOLS_PATH = "/v1/tools/"


@asynccontextmanager
async def serve_tool(service: FakeService, address: str) -> AsyncIterator[str]:
    """Serve a tool service at ``ip:port``; yields the bound address."""
    async with serve_app(tool_app(service), address) as bound:
        yield bound


def tool_app(service: FakeService) -> Routes:
    """Return the ASGI application of a tool service."""
    routes = Routes()

    @routes.route("POST", TOOLS_PATH)
    async def invoke(request: Request) -> Answer:
        outcome = service.receive(_call(request))
        await anyio.sleep(outcome.after_s)
        answer = outcome.answer
        if answer is None:
            answer = await anyio.sleep_forever()
        if isinstance(answer, Err):
            return refusal(answer.err_value)
        return json_answer({"value": answer.ok_value})

    @routes.route("GET", "/stats")
    async def stats(request: Request) -> Answer:
        ledger = service.ledger
        return json_answer(
            {
                "name": service.name,
                "received": ledger.received,
                "refused": ledger.refused,
                "lost_replies": ledger.lost_replies,
                "hung": ledger.hung,
                "effects": ledger.effects,
                "duplicate_effects": ledger.duplicate_effects,
            }
        )

    return routes


def _call(request: Request) -> ServiceCall:
    plain: dict[str, Any] = request.json()
    arguments = plain.get("arguments", {})
    if not isinstance(arguments, dict):
        raise BadRequestError("body: arguments must be a JSON object")
    try:
        return ServiceCall(
            call=str(plain["call"]),
            tool=request.path.removeprefix(TOOLS_PATH),
            arguments=arguments,
            fence=int(plain.get("fence", 0)),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise BadRequestError(f"body: {type(error).__name__}: {error}") from error
