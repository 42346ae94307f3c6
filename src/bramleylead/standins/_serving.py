"""Serves the stand-ins' ASGI applications by uvicorn inside one process."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager

import anyio

from bramleylead.http._server import HttpServer


class _DropCancelled(logging.Filter):
    """Keeps the requests that end with their server out of uvicorn's log of errors."""

    def filter(self, record: logging.LogRecord) -> bool:
        return not (record.exc_info and isinstance(record.exc_info[1], asyncio.CancelledError))


_drop_cancelled = _DropCancelled()


@asynccontextmanager
async def serve_app(app: Callable[..., Awaitable[None]], address: str) -> AsyncIterator[str]:
    """Serve an ASGI application in this context; leaving it drops all connections.

    :raises OSError: if the address can't be bound.
    """
    logging.getLogger("uvicorn.error").addFilter(_drop_cancelled)
    server = HttpServer(app)
    async with anyio.create_task_group() as tasks:
        bound: str = await tasks.start(server.serve, address)
        try:
            yield bound
        finally:
            server.kill()
            tasks.cancel_scope.cancel()
