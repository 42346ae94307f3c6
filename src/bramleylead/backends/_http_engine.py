"""HTTP client of a model engine; ``docs/endpoints.md`` describes the format."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import Any
from typing import TypeVar
from typing import final
from urllib.parse import quote

import anyio
from result import Err
from result import Ok
from result import Result

from bramleylead.backends._http_errors import error_from_response
from bramleylead.backends._http_errors import error_without_response
from bramleylead.backends._http_errors import malformed_response_error
from bramleylead.backends._http_stream import HttpEngineStream
from bramleylead.backends._types import BackendError
from bramleylead.backends._types import CacheEvent
from bramleylead.backends._types import CachePage
from bramleylead.backends._types import EngineChunk
from bramleylead.backends._types import GenerateCall
from bramleylead.backends._types import LoadReport
from bramleylead.backends._types import Order
from bramleylead.connection._http_client import HttpClient
from bramleylead.connection._http_client import HttpResponse
from bramleylead.json_input import decode_json

CONTROL_TIMEOUT_S = 2.0
KV_TIMEOUT_S = 60.0
ORDER_TIMEOUT_S = 600.0
PROGRESS_TIMEOUT_S = 3.0

_T = TypeVar("_T")


@final
class HttpEngine:
    """HTTP client of one model engine."""

    def __init__(
        self,
        name: str,
        client: HttpClient,
        *,
        progress_timeout_s: float = PROGRESS_TIMEOUT_S,
        coalesce_s: float = 0.0,
    ) -> None:
        self._coalesce_s = coalesce_s
        self._name = name
        self._client = client
        self._progress_timeout_s = progress_timeout_s

    @asynccontextmanager
    async def generate(
        self, call: GenerateCall
    ) -> AsyncIterator[AsyncIterator[Result[EngineChunk, BackendError]]]:
        """Run a call; leaving the context early cancels it."""
        stream = HttpEngineStream(
            self._name,
            self._client,
            call,
            progress_timeout_s=self._progress_timeout_s,
            coalesce_s=self._coalesce_s,
        )
        try:
            yield stream
        finally:
            with anyio.CancelScope(shield=True):
                await stream.aclose()

    async def release(self, program: str) -> Result[int, BackendError]:
        """Free the cached prefix of a program; returns the number of tokens freed."""
        response = await self._post("/v1/cache/release", {"program": program}, CONTROL_TIMEOUT_S)
        return self._parse_response(response, lambda document: int(document["tokens"]))

    async def export_kv(self, program: str) -> Result[bytes, BackendError]:
        """Export the KV cache of a program."""
        response = await self._post("/v1/cache/export", {"program": program}, KV_TIMEOUT_S)
        return response if isinstance(response, Err) else Ok(response.ok_value.body)

    async def import_kv(self, program: str, block: bytes) -> Result[int, BackendError]:
        """Import the KV cache of a program."""
        path = f"/v1/cache/import?program={quote(program, safe='')}"
        response = await self._send("POST", path, block, "application/octet-stream", KV_TIMEOUT_S)
        return self._parse_response(response, lambda document: int(document["tokens"]))

    async def load(self) -> Result[LoadReport, BackendError]:
        """Read the load report."""
        return self._parse_response(await self._get("/v1/load"), _parse_load_report)

    async def cache_events(self, *, after: int) -> Result[CachePage, BackendError]:
        """Read cache events after a sequence number."""
        return self._parse_response(
            await self._get(f"/v1/cache/events?after={after}"), _parse_cache_page
        )

    async def cache_contents(self) -> Result[CachePage, BackendError]:
        """Read the current contents of the cache."""
        return self._parse_response(await self._get("/v1/cache/contents"), _parse_cache_page)

    async def order(self, order: Order) -> Result[None, BackendError]:
        """Send an order and wait until the engine has carried it out."""
        body = {"kind": order.kind.value, "name": order.name, "fence": order.fence}
        response = await self._post("/v1/orders", body, ORDER_TIMEOUT_S)
        return response if isinstance(response, Err) else Ok(None)

    async def _get(self, target: str) -> Result[HttpResponse, BackendError]:
        return await self._send("GET", target, b"", "application/json", CONTROL_TIMEOUT_S)

    async def _post(
        self, target: str, document: dict[str, Any], timeout_s: float
    ) -> Result[HttpResponse, BackendError]:
        body = json.dumps(document).encode()
        return await self._send("POST", target, body, "application/json", timeout_s)

    async def _send(
        self, method: str, target: str, body: bytes, content_type: str, timeout_s: float
    ) -> Result[HttpResponse, BackendError]:
        response = await self._client.request(
            method, target, body=body, headers={"content-type": content_type}, timeout_s=timeout_s
        )
        if isinstance(response, Err):
            return Err(error_without_response(response.err_value))
        if response.ok_value.status != 200:
            return Err(error_from_response(self._name, response.ok_value))
        return Ok(response.ok_value)

    def _parse_response(
        self, response: Result[HttpResponse, BackendError], parse: Callable[[Any], _T]
    ) -> Result[_T, BackendError]:
        if isinstance(response, Err):
            return response
        try:
            return Ok(parse(decode_json(response.ok_value.body)))
        except (KeyError, TypeError, ValueError) as error:
            return Err(malformed_response_error(self._name, error))


def _parse_load_report(document: dict[str, Any]) -> LoadReport:
    return LoadReport(
        int(document["running"]),
        int(document["waiting"]),
        int(document["kv_used_tokens"]),
        int(document["kv_total_tokens"]),
        float(document["age_s"]),
    )


def _parse_cache_page(document: dict[str, Any]) -> CachePage:
    events = tuple(
        CacheEvent(
            int(event["sequence"]),
            str(event["program"]),
            int(event["tokens"]),
            bool(event["stored"]),
        )
        for event in document["events"]
    )
    return CachePage(int(document["next_sequence"]), events, bool(document["complete"]))
