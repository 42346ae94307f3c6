"""Writes the response to one request, and logs it."""

from __future__ import annotations

from typing import Any
from typing import final

import anyio
import structlog

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.gateway._call import CompleteResponse
from bramleylead.gateway._replica_connection import ResponseHead
from bramleylead.http._exchange import Exchange
from bramleylead.http._responses import JSON_TYPE
from bramleylead.http._responses import encode_json
from bramleylead.platform import _wire as wire
from bramleylead.platform._types import CallMetadata

log = structlog.get_logger()


@final
class HttpResponseWriter:
    """Writes the response to one request."""

    def __init__(self, exchange: Exchange, metadata: CallMetadata) -> None:
        self._exchange = exchange
        self._started_at = anyio.current_time()
        self.metadata = metadata
        self.aborted = False
        self.finished = False

    async def start_stream(self, head: ResponseHead) -> None:
        """Send the status and headers of a stream."""
        headers = wire.answer_headers(head.headers)
        self._log("stream_begun", status=head.status)
        await self._exchange.start(head.status, headers)

    async def write(self, data: bytes) -> None:
        """Send a chunk of a stream."""
        await self._exchange.write(data)

    async def finish_stream(self) -> None:
        """End a stream normally."""
        self.finished = True
        await self._exchange.write(b"", more=False)
        self._log("answered", status=200)

    async def abort(self) -> None:
        """Abort a stream; the connection is closed so that the caller sees it as incomplete."""
        self.aborted = True
        self._log("broken_off")

    async def send_response(self, response: CompleteResponse) -> None:
        """Send a replica's complete response."""
        self.finished = True
        headers = wire.answer_headers(response.head.headers)
        await self._exchange.respond(response.head.status, response.body, headers)
        self._log("answered", status=response.head.status, replica=response.replica.name)

    async def send_failure(self, failure: Failure) -> None:
        """Send an error response that the gateway itself generates."""
        self.finished = True
        error_answer = failure.answer
        headers = [("content-type", JSON_TYPE)]
        headers += wire.retry_headers(self.metadata.request_id, error_answer.retry_after_s)
        body = {"error": {"kind": failure.kind, "message": failure.detail, "ran": error_answer.ran}}
        self._log(
            "refused",
            kind=failure.kind,
            status=error_answer.status,
            ran=error_answer.ran,
            retry_after_s=error_answer.retry_after_s,
            reason=failure.detail,
        )
        if failure.kind is ErrorKind.NOT_DURABLE:
            # A caller that reconnects can reach a gateway that has contact with the ledger.
            self._exchange.close_after = True
        await self._exchange.respond(error_answer.status, encode_json(body), headers)

    def _log(self, event: str, **fields: Any) -> None:
        took_s = round(anyio.current_time() - self._started_at, 4)
        metadata = self.metadata
        log.info(
            event, request=metadata.request_id, program=metadata.program, took_s=took_s, **fields
        )
