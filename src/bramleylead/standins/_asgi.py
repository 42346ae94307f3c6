"""A small ASGI application for the stand-in servers: routes, bodies with a limit, JSON answers."""

from __future__ import annotations

import json
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import NamedTuple
from typing import final
from urllib.parse import parse_qs
from urllib.parse import unquote

MAX_BODY_BYTES = 64_000_000
JSON_TYPE = "application/json"
BYTES_TYPE = "application/octet-stream"


class BadRequestError(ValueError):
    """A request that the server can't read; it had no effect."""


class Request(NamedTuple):
    """One request; ``send`` and ``receive`` are ASGI's, for answers in parts."""

    path: str
    query: dict[str, str]
    body: bytes
    receive: Callable[[], Awaitable[Any]]
    send: Callable[[Any], Awaitable[None]]

    def json(self) -> dict[str, Any]:
        """Return the body's JSON object.

        :raises BadRequestError: if it is none.
        """
        try:
            plain = json.loads(self.body)
        except ValueError as error:
            raise BadRequestError(f"body: not JSON: {error}") from error
        if not isinstance(plain, dict):
            raise BadRequestError("body: must be a JSON object")
        return plain

    def parameter(self, name: str) -> str:
        """Return a parameter of the query.

        :raises BadRequestError: if it is missing.
        """
        if name not in self.query:
            raise BadRequestError(f"query: {name} is missing")
        return self.query[name]


class Answer(NamedTuple):
    """One whole answer."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()
    content_type: str = JSON_TYPE


Handler = Callable[[Request], Awaitable[Answer | None]]


def json_answer(plain: Any, *, status: int = 200, headers: dict[str, str] | None = None) -> Answer:
    """Return an answer in JSON."""
    return Answer(status, json.dumps(plain).encode(), tuple((headers or {}).items()))


@final
class Routes:
    """The handlers of one server, filled by the decorator :meth:`route`.

    A handler that has sent its answer itself returns ``None``.
    """

    def __init__(self) -> None:
        self._handlers: dict[tuple[str, str], Handler] = {}
        self._prefixes: dict[tuple[str, str], Handler] = {}

    def route(self, method: str, path: str) -> Callable[[Handler], Handler]:
        """Register a handler; a path that ends with ``/`` takes all that begin with it."""

        def register(handler: Handler) -> Handler:
            table = self._prefixes if path.endswith("/") else self._handlers
            table[method, path] = handler
            return handler

        return register

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Callable[[], Awaitable[Any]],
        send: Callable[[Any], Awaitable[None]],
    ) -> None:
        """Serve one request, as ASGI asks."""
        if scope["type"] != "http":
            return
        handler = self._find(scope["method"], scope["path"])
        if handler is None:
            detail = f"{scope['method']} {scope['path']}: no such route"
            await send_answer(send, _refused(404, detail))
            return
        body = await _read_body(receive)
        if body is None:
            await send_answer(send, _refused(413, f"body: over {MAX_BODY_BYTES} bytes"))
            return
        parsed = parse_qs(scope["query_string"].decode("latin-1"), keep_blank_values=True)
        query = {name: values[-1] for name, values in parsed.items()}
        try:
            path = unquote(scope["path"])
            answer = await handler(Request(path, query, body, receive, send))
        except BadRequestError as error:
            answer = _refused(400, str(error))
        if answer is not None:
            await send_answer(send, answer)

    def _find(self, method: str, path: str) -> Handler | None:
        exact = self._handlers.get((method, path))
        if exact is not None:
            return exact
        for (known, prefix), handler in self._prefixes.items():
            if known == method and path.startswith(prefix):
                return handler
        return None


async def send_answer(send: Callable[[Any], Awaitable[None]], answer: Answer) -> None:
    """Send a whole answer."""
    await send_head(send, answer.status, answer.content_type, answer.headers, len(answer.body))
    await send({"type": "http.response.body", "body": answer.body})


async def send_head(
    send: Callable[[Any], Awaitable[None]],
    status: int,
    content_type: str,
    headers: tuple[tuple[str, str], ...] = (),
    length: int | None = None,
) -> None:
    """Send the head of an answer."""
    pairs = [(b"content-type", content_type.encode())]
    pairs += [(name.encode(), value.encode()) for name, value in headers]
    if length is not None:
        pairs.append((b"content-length", str(length).encode()))
    await send({"type": "http.response.start", "status": status, "headers": pairs})


def _refused(status: int, detail: str) -> Answer:
    return json_answer({"error": {"message": detail, "ran": "not run"}}, status=status)


async def _read_body(receive: Callable[[], Awaitable[Any]]) -> bytes | None:
    whole = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            return bytes(whole)
        whole += message.get("body", b"")
        if len(whole) > MAX_BODY_BYTES:
            return None
        if not message.get("more_body", False):
            return bytes(whole)
