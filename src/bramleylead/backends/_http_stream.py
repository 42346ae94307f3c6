"""One streaming call to a model engine over HTTP: progress timeout, resume, cancel."""

from __future__ import annotations

import json
from contextlib import AsyncExitStack
from typing import Any
from typing import final

import anyio
from result import Err
from result import Ok
from result import Result

from bramleylead.backends._http_errors import error_from_response
from bramleylead.backends._http_errors import error_without_response
from bramleylead.backends._http_errors import malformed_response_error
from bramleylead.backends._types import BackendError
from bramleylead.backends._types import BackendErrorKind
from bramleylead.backends._types import EngineChunk
from bramleylead.backends._types import GenerateCall
from bramleylead.connection._events import EventReader
from bramleylead.connection._http_client import HTTP_ERRORS
from bramleylead.connection._http_client import HttpClient
from bramleylead.connection._http_client import HttpResponse
from bramleylead.connection._http_client import HttpStream
from bramleylead.json_input import decode_json

CHAT_PATH = "/v1/chat/completions"
CANCEL_PATH = "/v1/calls/cancel"
CANCEL_TIMEOUT_S = 1.0
RESUME_TIMEOUT_S = 2.0
DRAIN_TIMEOUT_S = 0.2
MAX_RESUMES_WITHOUT_EVENT = 2
MAX_ERROR_BYTES = 10_000
DONE = b"[DONE]"
STREAM_HEADERS = {"content-type": "application/json", "accept": "text/event-stream"}


@final
class HttpEngineStream:
    """Iterates over the chunks of one call and reconnects when a connection fails.

    A connection that breaks, or receives nothing for ``progress_timeout_s`` seconds, is replaced by
    a new one that resumes after the tokens received; if that fails too, the call is lost.

    :param coalesce_s: delay before each read after the first text, so that one read returns the
        tokens that arrive in the meantime.
    """

    def __init__(
        self,
        name: str,
        client: HttpClient,
        call: GenerateCall,
        *,
        progress_timeout_s: float,
        coalesce_s: float = 0.0,
    ) -> None:
        self._name = name
        self._client = client
        self._call = call
        self._progress_timeout_s = progress_timeout_s
        self._coalesce_s = coalesce_s
        self._received = call.resume_from
        self._pending_chunks: list[EngineChunk] = []
        self._connection = AsyncExitStack()
        self._stream: HttpStream | None = None
        self._reader = EventReader()
        self._may_have_run = False
        self._response_started = False
        self._done = False
        self._finished = False
        self.resumes = 0

    def __aiter__(self) -> HttpEngineStream:
        return self

    async def __anext__(self) -> Result[EngineChunk, BackendError]:
        if self._done:
            raise StopAsyncIteration
        item = await self._next_chunk()
        self._done = isinstance(item, Err) or item.ok_value.finish != ""
        return item

    async def aclose(self) -> None:
        """Close the connection, and cancel the call if it may still be running."""
        with anyio.CancelScope(shield=True):
            if self._finished:
                await self._drain()
            await self._connection.aclose()
            if self._may_have_run and not self._finished:
                await self._cancel()

    async def _next_chunk(self) -> Result[EngineChunk, BackendError]:
        if self._stream is None:
            error = await self._connect(self._progress_timeout_s)
            if (
                error is not None
                and error.kind is BackendErrorKind.LOST
                and not self._response_started
            ):
                # Resending the call id on a new connection is safe: the call starts only once.
                error = await self._resume(error.detail)
            if error is not None:
                return Err(error)
        deadline = anyio.current_time() + self._progress_timeout_s
        resumes_before = self.resumes
        while not self._pending_chunks:
            problem = await self._read_part(deadline)
            if isinstance(problem, BackendError):
                return Err(problem)
            if problem:
                error = await self._resume(problem)
                if error is not None:
                    return Err(error)
                if self.resumes - resumes_before > MAX_RESUMES_WITHOUT_EVENT:
                    detail = f"{self._name}: {problem}; resumed without success"
                    return Err(BackendError(BackendErrorKind.LOST, detail))
                deadline = anyio.current_time() + self._progress_timeout_s
        chunk = self._pending_chunks.pop(0)
        self._received += chunk.tokens
        if chunk.tokens and self._stream is not None:
            self._stream.network.read_delay_s = self._coalesce_s
        self._finished = chunk.finish != ""
        return Ok(chunk)

    async def _connect(self, timeout_s: float) -> BackendError | None:
        opened = self._client.stream(
            "POST",
            CHAT_PATH,
            body=json.dumps(self._request_body()).encode(),
            headers=STREAM_HEADERS,
            timeout_s=timeout_s,
        )
        stream = await self._connection.enter_async_context(opened)
        if isinstance(stream, Err):
            self._may_have_run = self._may_have_run or stream.err_value.sent
            return error_without_response(stream.err_value)
        self._may_have_run = True
        self._response_started = True
        self._reader = EventReader()
        if stream.ok_value.status != 200:
            return await self._read_error(stream.ok_value)
        self._stream = stream.ok_value
        return None

    async def _read_error(self, stream: HttpStream) -> BackendError:
        body = bytearray()
        with anyio.move_on_after(CANCEL_TIMEOUT_S):
            try:
                async for part in stream.body:
                    body += part
                    if len(body) > MAX_ERROR_BYTES:
                        break
            except HTTP_ERRORS:
                pass
        response = HttpResponse(stream.status, stream.headers, bytes(body))
        error = error_from_response(self._name, response)
        if error.kind in (BackendErrorKind.REFUSED, BackendErrorKind.STALE_FENCE):
            self._may_have_run = False
        return error

    async def _read_part(self, deadline: float) -> BackendError | str:
        """Read one part of the body; returns why the connection is unusable, or ``""``.

        :param deadline: when the next event must be complete. Single bytes are no progress.
        """
        assert self._stream is not None
        with anyio.CancelScope(deadline=deadline):
            try:
                part = await anext(self._stream.body)
            except StopAsyncIteration:
                return "the stream ended early"
            except HTTP_ERRORS as error:
                return f"{type(error).__name__}: {error}"
            return self._parse_part(part)
        return f"no event for {self._progress_timeout_s:g} s"

    def _parse_part(self, part: bytes) -> BackendError | str:
        try:
            events = [event for event in self._reader.feed_data(part) if event != DONE]
            if events:
                self._pending_chunks.append(
                    _merge_chunks([_parse_chunk(decode_json(event)) for event in events])
                )
        except (AttributeError, IndexError, KeyError, TypeError, ValueError) as error:
            return malformed_response_error(self._name, error)
        return ""

    async def _resume(self, problem: str) -> BackendError | None:
        """Open a new connection that continues after the tokens received."""
        self.resumes += 1
        await self._client.replace_pool()
        old_connection, self._connection = self._connection, AsyncExitStack()
        self._stream = None
        try:
            error = await self._connect(min(RESUME_TIMEOUT_S, self._progress_timeout_s))
        finally:
            with anyio.CancelScope(shield=True):
                await old_connection.aclose()
        if error is None:
            return None
        detail = f"{self._name}: {problem}; resume: {error.detail}"
        return BackendError(BackendErrorKind.LOST, detail)

    async def _drain(self) -> None:
        """Read the rest of a completed response, so that its connection can be reused."""
        assert self._stream is not None
        self._stream.network.read_delay_s = 0.0
        with anyio.move_on_after(DRAIN_TIMEOUT_S):
            try:
                async for _ in self._stream.body:
                    pass
            except HTTP_ERRORS:
                pass

    async def _cancel(self) -> None:
        body = json.dumps({"call": self._call.call}).encode()
        await self._client.request("POST", CANCEL_PATH, body=body, timeout_s=CANCEL_TIMEOUT_S)

    def _request_body(self) -> dict[str, Any]:
        call = self._call
        return {
            "model": call.model,
            "messages": [message._asdict() for message in call.messages],
            "max_tokens": call.max_tokens,
            "stream": True,
            "stream_options": {"include_usage": True},
            "bramleylead": {
                "call": call.call,
                "program": call.program,
                "fence": call.fence,
                "resume_from": self._received,
            },
        }


def _merge_chunks(chunks: list[EngineChunk]) -> EngineChunk:
    """Merge the chunks that arrived in one part of the body."""
    if len(chunks) == 1:
        return chunks[0]
    return EngineChunk(
        text="".join(chunk.text for chunk in chunks),
        tokens=sum(chunk.tokens for chunk in chunks),
        cached_tokens=max(chunk.cached_tokens for chunk in chunks),
        prompt_tokens=max(chunk.prompt_tokens for chunk in chunks),
        finish=chunks[-1].finish,
    )


def _parse_chunk(event: dict[str, Any]) -> EngineChunk:
    choice = event["choices"][0]
    usage = event.get("usage") or {}
    details = usage.get("prompt_tokens_details") or {}
    tokens = int(event["bramleylead"]["tokens"])
    if tokens < 0:
        raise ValueError(f"tokens must not be negative: {tokens}")
    return EngineChunk(
        text=str(choice["delta"].get("content") or ""),
        tokens=tokens,
        cached_tokens=int(details.get("cached_tokens", 0)),
        prompt_tokens=int(usage.get("prompt_tokens", 0)),
        finish=str(choice.get("finish_reason") or ""),
    )
