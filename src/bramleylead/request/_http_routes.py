"""The HTTP routes: a decorator registers each handler under a method and a path."""

from __future__ import annotations

import re
from collections.abc import Awaitable
from collections.abc import Callable
from enum import Enum
from enum import auto
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import TypeVar

from pydantic import BaseModel
from result import Err
from result import Ok
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.http._exchange import Exchange
from bramleylead.http._responses import JSON_TYPE
from bramleylead.http._responses import CallRef
from bramleylead.http._responses import encode_json
from bramleylead.http._responses import success_headers
from bramleylead.request._service import NodeService
from bramleylead.validation import load_model

if TYPE_CHECKING:
    from bramleylead.node_settings import RequestSettings

MAX_SHOWN_ERRORS = 10

_Body = TypeVar("_Body", bound=BaseModel)


class Access(Enum):
    """Whose key a route requires."""

    PUBLIC = auto()
    CALLER = auto()
    OPERATOR = auto()


class HttpRequest(NamedTuple):
    """A request as passed to a route handler.

    :param branch: the branch whose key the caller sent; empty unless the route is for callers.
    :param arguments: the named parts of the path.
    :param call_ref: set by the handler once it knows the call; included in error responses.
    :param new_program_id: generates a program id for callers that gave none.
    :param wall_clock: returns Unix time in seconds, for the ``created`` field of completions.
    """

    service: NodeService
    settings: RequestSettings
    exchange: Exchange
    branch: str
    arguments: dict[str, str]
    call_ref: CallRef
    new_program_id: Callable[[], str]
    wall_clock: Callable[[], float]

    async def read_bytes(self) -> Result[bytes, Failure]:
        """Read the body within the configured size and time limits."""
        return await self.exchange.read_body(
            max_bytes=self.settings.max_body_bytes, timeout_s=self.settings.body_timeout_s
        )

    async def read_model(self, model: type[_Body]) -> Result[_Body, Failure]:
        """Read the body and validate it against a model."""
        body = await self.read_bytes()
        if isinstance(body, Err):
            return body
        loaded = load_model(model, body.ok_value or b"{}")
        if isinstance(loaded, Ok):
            return loaded
        errors = "; ".join(str(error) for error in loaded.err_value[:MAX_SHOWN_ERRORS])
        return Err(Failure(ErrorKind.MALFORMED, f"body: {errors}"))

    async def respond_json(self, status: int, value: Any) -> Result[None, Failure]:
        """Send a successful response."""
        headers = [("content-type", JSON_TYPE), *success_headers(self.call_ref)]
        await self.exchange.respond(status, encode_json(value), headers)
        return Ok(None)


Handler = Callable[[HttpRequest], Awaitable[Result[None, Failure]]]


class Route(NamedTuple):
    """One registered route.

    :param new_work: whether a stopping or overloaded node refuses the request.
    """

    method: str
    path: str
    pattern: re.Pattern[str]
    access: Access
    new_work: bool
    handler: Handler


ROUTES: list[Route] = []


def route(
    method: str, path: str, *, access: Access, new_work: bool = False
) -> Callable[[Handler], Handler]:
    """Register a handler; ``{name}`` in the path matches one segment."""

    def register(handler: Handler) -> Handler:
        pattern = re.compile(re.sub(r"{(\w+)}", r"(?P<\1>[^/]+)", path))
        ROUTES.append(Route(method, path, pattern, access, new_work, handler))
        return handler

    return register


def find_route(method: str, path: str) -> Result[tuple[Route, dict[str, str]], Failure]:
    """Return the route of a request and the named parts of its path."""
    allowed_methods = []
    for candidate in ROUTES:
        match = candidate.pattern.fullmatch(path)
        if match is None:
            continue
        if candidate.method == method:
            return Ok((candidate, match.groupdict()))
        allowed_methods.append(candidate.method)
    if allowed_methods:
        detail = f"method: {method}: {path} allows {', '.join(allowed_methods)}"
        return Err(Failure(ErrorKind.MALFORMED, detail))
    return Err(
        Failure(ErrorKind.UNKNOWN_TARGET, f"path: {path}: unknown: see the HTTP documentation")
    )
