"""Model engines over HTTP; ``docs/endpoints.md`` describes the format."""

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

from bramleylead.backends._http_errors import error_of_answer
from bramleylead.backends._http_errors import error_without_answer
from bramleylead.backends._http_errors import malformed
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

CONTROL_TIMEOUT_S = 2.0
KV_TIMEOUT_S = 60.0
ORDER_TIMEOUT_S = 600.0
PROGRESS_S = 3.0

_T = TypeVar("_T")


@final
class HttpEngine:
    """One model engine."""

    def __init__(
        self,
        name: str,
        client: HttpClient,
        *,
        progress_s: float = PROGRESS_S,
        gather_s: float = 0.0,
    ) -> None:
        self._gather_s = gather_s
        self._name = name
        self._client = client
        self._progress_s = progress_s

    @asynccontextmanager
    async def generate(
        self, call: GenerateCall
    ) -> AsyncIterator[AsyncIterator[Result[EngineChunk, BackendError]]]:
        """Run a call; leaving the context early cancels it."""
        stream = HttpEngineStream(
            self._name,
            self._client,
            call,
            progress_s=self._progress_s,
            gather_s=self._gather_s,
        )
        try:
            yield stream
        finally:
            with anyio.CancelScope(shield=True):
                await stream.aclose()

    async def release(self, program: str) -> Result[int, BackendError]:
        """Free the cache of a program."""
        answer = await self._post("/v1/cache/release", {"program": program}, CONTROL_TIMEOUT_S)
        return self._parsed(answer, lambda plain: int(plain["tokens"]))

    async def export_kv(self, program: str) -> Result[bytes, BackendError]:
        """Copy out a program's cache."""
        answer = await self._post("/v1/cache/export", {"program": program}, KV_TIMEOUT_S)
        return answer if isinstance(answer, Err) else Ok(answer.ok_value.body)

    async def import_kv(self, program: str, block: bytes) -> Result[int, BackendError]:
        """Copy in a program's cache."""
        path = f"/v1/cache/import?program={quote(program, safe='')}"
        answer = await self._send("POST", path, block, "application/octet-stream", KV_TIMEOUT_S)
        return self._parsed(answer, lambda plain: int(plain["tokens"]))

    async def load(self) -> Result[LoadReport, BackendError]:
        """Read the load report."""
        return self._parsed(await self._get("/v1/load"), _to_load)

    async def cache_events(self, *, after: int) -> Result[CachePage, BackendError]:
        """Read cache events after a sequence number."""
        return self._parsed(await self._get(f"/v1/cache/events?after={after}"), _to_page)

    async def cache_contents(self) -> Result[CachePage, BackendError]:
        """Read what the cache holds now."""
        return self._parsed(await self._get("/v1/cache/contents"), _to_page)

    async def order(self, order: Order) -> Result[None, BackendError]:
        """Give an order and wait until it is carried out."""
        body = {"kind": order.kind.value, "name": order.name, "fence": order.fence}
        answer = await self._post("/v1/orders", body, ORDER_TIMEOUT_S)
        return answer if isinstance(answer, Err) else Ok(None)

    async def _get(self, target: str) -> Result[HttpResponse, BackendError]:
        return await self._send("GET", target, b"", "application/json", CONTROL_TIMEOUT_S)

    async def _post(
        self, target: str, plain: dict[str, Any], timeout_s: float
    ) -> Result[HttpResponse, BackendError]:
        body = json.dumps(plain).encode()
        return await self._send("POST", target, body, "application/json", timeout_s)

    async def _send(
        self, method: str, target: str, body: bytes, content_type: str, timeout_s: float
    ) -> Result[HttpResponse, BackendError]:
        answer = await self._client.request(
            method, target, body=body, headers={"content-type": content_type}, timeout_s=timeout_s
        )
        if isinstance(answer, Err):
            return Err(error_without_answer(answer.err_value))
        if answer.ok_value.status != 200:
            return Err(error_of_answer(self._name, answer.ok_value))
        return Ok(answer.ok_value)

    def _parsed(
        self, answer: Result[HttpResponse, BackendError], parse: Callable[[Any], _T]
    ) -> Result[_T, BackendError]:
        if isinstance(answer, Err):
            return answer
        try:
            return Ok(parse(json.loads(answer.ok_value.body)))
        except (KeyError, TypeError, ValueError) as error:
            return Err(malformed(self._name, error))


def _to_load(plain: dict[str, Any]) -> LoadReport:
    return LoadReport(
        int(plain["running"]),
        int(plain["waiting"]),
        int(plain["kv_used_tokens"]),
        int(plain["kv_total_tokens"]),
        float(plain["age_s"]),
    )


def _to_page(plain: dict[str, Any]) -> CachePage:
    events = tuple(
        CacheEvent(int(e["sequence"]), str(e["program"]), int(e["tokens"]), bool(e["stored"]))
        for e in plain["events"]
    )
    return CachePage(int(plain["next_sequence"]), events, bool(plain["complete"]))
