"""A node as a trial's callers reach it over HTTP."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Mapping
from contextlib import asynccontextmanager
from typing import Any
from typing import final

from result import Err
from result import Ok
from result import Result

from bramleylead.connection._events import EventReader
from bramleylead.connection._http_client import HTTP_ERRORS
from bramleylead.connection._http_client import HttpClient
from bramleylead.connection._http_client import HttpFailure
from bramleylead.connection._http_client import HttpResponse
from bramleylead.connection._http_client import HttpStream
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.request import AnswerChunk
from bramleylead.request import AnswerEnd
from bramleylead.request import CallItem
from bramleylead.request import CallKind
from bramleylead.request import CallRequest
from bramleylead.request import EndProgram
from bramleylead.request import OpenProgram
from bramleylead.request import ProgramView
from bramleylead.request import ReadProgram

REQUEST_TIMEOUT_S = 15.0
PROBE_TIMEOUT_S = 0.5
OK_STATUS = 200
FIRST_ERROR_STATUS = 400
DONE = b"[DONE]"


@final
class HttpNode:
    """Speaks to one node for all branches of a trial. Implements ``CallerNode``.

    :param keys: each branch's key.
    :param on_cut: called when a request that was sent breaks off without its whole answer.
    """

    def __init__(
        self, address: str, keys: Mapping[str, str], on_cut: Callable[[str], None]
    ) -> None:
        self._client = HttpClient(address)
        self._keys = keys
        self._on_cut = on_cut

    async def aclose(self) -> None:
        """Close every connection."""
        await self._client.aclose()

    async def probe(self) -> bool:
        """Return whether the node says that it is ready."""
        answered = await self._client.request("GET", "/readyz", timeout_s=PROBE_TIMEOUT_S)
        return isinstance(answered, Ok) and answered.ok_value.status == OK_STATUS

    async def open_program(self, request: OpenProgram) -> Result[ProgramView, Failure] | None:
        """Open a program."""
        body = {"program": request.program, "kind": request.kind}
        if request.parent:
            body["parent"] = request.parent
        return await self._view("POST", "/v1/programs", request.branch, body)

    async def read_program(self, request: ReadProgram) -> Result[ProgramView, Failure] | None:
        """Read a program's state."""
        target = f"/v1/programs/{request.program}?history={int(request.history)}"
        return await self._view("GET", target, request.branch)

    async def end_program(self, request: EndProgram) -> Result[ProgramView, Failure] | None:
        """End a program."""
        return await self._view("DELETE", f"/v1/programs/{request.program}", request.branch)

    @asynccontextmanager
    async def call(self, request: CallRequest) -> AsyncIterator[AsyncIterator[CallItem]]:
        """Run a call and read its answer as events."""
        target, body = "/v1/chat/completions", _chat_body(request)
        if request.call_kind is CallKind.TOOL:
            target = f"/v1/programs/{request.program}/tools/{request.target}"
            body = request.arguments
        async with self._client.stream(
            "POST",
            target,
            body=json.dumps(body).encode(),
            headers={**self._key(request.branch), **_call_headers(request)},
            timeout_s=request.deadline_s,
        ) as opened:
            self._note_broken(opened)
            yield self._items(opened.ok_value if isinstance(opened, Ok) else None)

    async def _view(
        self, method: str, target: str, branch: str, body: Any = None
    ) -> Result[ProgramView, Failure] | None:
        answered = await self._client.request(
            method,
            target,
            body=b"" if body is None else json.dumps(body).encode(),
            headers=self._key(branch),
            timeout_s=REQUEST_TIMEOUT_S,
        )
        self._note_broken(answered)
        return None if isinstance(answered, Err) else _read_view(answered.ok_value)

    def _note_broken(self, answered: Result[Any, HttpFailure]) -> None:
        if isinstance(answered, Err) and answered.err_value.sent:
            self._on_cut(answered.err_value.detail)

    async def _items(self, stream: HttpStream | None) -> AsyncIterator[CallItem]:
        """Yield what the events of an answer say; a connection that breaks ends it early."""
        if stream is None:
            return
        try:
            if stream.status >= FIRST_ERROR_STATUS:
                body = b"".join([part async for part in stream.body])
                yield _failure(json.loads(body)["error"])
                return
            reader = EventReader()
            async for part in stream.body:
                for data in reader.feed_data(part):
                    if data != DONE:
                        yield _item(json.loads(data))
        except HTTP_ERRORS as error:
            self._on_cut(f"in the middle of an answer: {error or type(error).__name__}")

    def _key(self, branch: str) -> dict[str, str]:
        return {"authorization": f"Bearer {self._keys[branch]}"}


def _call_headers(request: CallRequest) -> dict[str, str]:
    return {
        "accept": "text/event-stream",
        "bramleylead-program": request.program,
        "bramleylead-call": str(request.number),
        "bramleylead-incarnation": str(request.incarnation),
        "bramleylead-deadline-s": f"{request.deadline_s:g}",
        "bramleylead-history": "whole" if request.whole_history else "append",
        "idempotency-key": request.key,
    }


def _chat_body(request: CallRequest) -> dict[str, Any]:
    return {
        "model": request.target,
        "stream": True,
        "max_tokens": request.max_tokens,
        "messages": [{"role": role, "content": text} for role, text in request.messages],
    }


def _read_view(answer: HttpResponse) -> Result[ProgramView, Failure]:
    document = json.loads(answer.body)
    if answer.status >= FIRST_ERROR_STATUS:
        return Err(_failure(document["error"]))
    fields = {name: document[name] for name in ProgramView._fields}
    fields["messages"] = tuple((item["role"], item["content"]) for item in document["messages"])
    fields["calls"] = tuple(tuple(item.values()) for item in document["calls"])
    return Ok(ProgramView(**fields))


def _item(event: dict[str, Any]) -> CallItem:
    if "error" in event:
        return _failure(event["error"])
    ours = event["bramleylead"]
    if "length" not in ours:
        text = event["text"] if "text" in event else event["choices"][0]["delta"]["content"]
        return AnswerChunk(ours["offset"], text, 0)
    usage = event.get("usage", {})
    choices = event.get("choices") or [{"finish_reason": "stop"}]
    return AnswerEnd(
        number=ours["call"],
        incarnation=ours["incarnation"],
        length=ours["length"],
        finish=choices[0]["finish_reason"],
        prompt_tokens=usage.get("prompt_tokens", 0),
        cached_tokens=usage.get("prompt_tokens_details", {}).get("cached_tokens", 0),
        output_tokens=usage.get("completion_tokens", 0),
        endpoint=ours["endpoint"],
        durable=ours["durable"],
        value=event.get("value"),
    )


def _failure(error: dict[str, Any]) -> Failure:
    retry_s = error["retry_after_s"]
    kind = ErrorKind(error["error_kind"])
    return Failure(kind, error["detail"], -1.0 if retry_s is None else retry_s)
