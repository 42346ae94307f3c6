"""An HTTP client of the object API; ``docs/object-api.md`` describes the format.

Calls are not retried. A write without an answer fails with ``UNKNOWN``. A read without an answer,
and a write that was certainly not sent, fail with ``UNAVAILABLE``.
"""

from __future__ import annotations

import json
from base64 import b64decode
from base64 import b64encode
from collections.abc import Sequence
from types import TracebackType
from typing import Any
from typing import Self
from typing import final
from urllib.parse import urlencode

from result import Err
from result import Ok
from result import Result

from bramleylead.connection._http_client import HttpClient
from bramleylead.connection._http_client import HttpFailure
from bramleylead.connection._http_client import HttpResponse
from bramleylead.json_input import decode_json
from bramleylead.platform._store import ANY_VERSION
from bramleylead.platform._store import Change
from bramleylead.platform._store import StoredObject
from bramleylead.platform._store import StoreError
from bramleylead.platform._store import StoreErrorKind
from bramleylead.platform._store import VmEntry
from bramleylead.platform._store import WatchPage

WATCH_REPLY_SLACK_S = 2.0
CONFLICT_STATUSES = (409, 412)
NOT_FOUND_STATUSES = (404, 410)
TOO_LARGE_STATUS = 413
NO_EFFECT_HEADER = "x-effect"
NO_EFFECT = "none"
JSON_HEADERS = {"content-type": "application/json"}


@final
class HttpStore:
    """The object store at ``http://ip:port``; leaving the context closes the connections."""

    def __init__(self, location: str) -> None:
        self._client = HttpClient(location.removeprefix("http://").rstrip("/"))

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._client.aclose()

    async def get(self, key: str, *, timeout_s: float = 2.0) -> Result[StoredObject, StoreError]:
        """Read one object."""
        read = await self._read("/v1/object", {"key": key}, timeout_s)
        return _parse_answer(read, _to_object)

    async def put(
        self, key: str, value: bytes, *, expected: int = ANY_VERSION, timeout_s: float = 2.0
    ) -> Result[int, StoreError]:
        """Write one object if its version is ``expected``."""
        query = {"key": key, "expected": expected}
        body = json.dumps({"value": b64encode(value).decode()}).encode()
        written = await self._write("PUT", "/v1/object", query, body, timeout_s)
        return _parse_answer(written, lambda plain: int(plain["version"]), StoreErrorKind.UNKNOWN)

    async def delete(
        self, key: str, *, expected: int = ANY_VERSION, timeout_s: float = 2.0
    ) -> Result[None, StoreError]:
        """Delete one object if its version is ``expected``."""
        query = {"key": key, "expected": expected}
        written = await self._write("DELETE", "/v1/object", query, b"", timeout_s)
        return _parse_answer(written, lambda plain: None, StoreErrorKind.UNKNOWN)

    async def list(
        self, prefix: str, *, after: str = "", limit: int = 500, timeout_s: float = 2.0
    ) -> Result[Sequence[StoredObject], StoreError]:
        """Read up to ``limit`` objects under ``prefix``."""
        query = {"prefix": prefix, "after": after, "limit": limit}
        read = await self._read("/v1/objects", query, timeout_s)
        return _parse_answer(read, lambda plain: [_to_object(item) for item in plain["objects"]])

    async def watch(
        self, prefix: str, *, after_revision: int, timeout_s: float
    ) -> Result[WatchPage, StoreError]:
        """Wait for changes under ``prefix``."""
        query = {"prefix": prefix, "after_revision": after_revision, "timeout_s": timeout_s}
        read = await self._read("/v1/watch", query, timeout_s + WATCH_REPLY_SLACK_S)
        return _parse_answer(read, _to_page)

    async def vms(self, *, timeout_s: float = 2.0) -> Result[Sequence[VmEntry], StoreError]:
        """Read the platform's list of VMs."""
        read = await self._read("/v1/vms", {}, timeout_s)
        return _parse_answer(read, lambda plain: [_to_vm(item) for item in plain["vms"]])

    async def _read(
        self, path: str, query: dict[str, Any], timeout_s: float
    ) -> Result[HttpResponse, StoreError]:
        target = f"{path}?{urlencode(query)}"
        answer = await self._client.request("GET", target, timeout_s=timeout_s)
        return _check_answer(answer, StoreErrorKind.UNAVAILABLE)

    async def _write(
        self, method: str, path: str, query: dict[str, Any], body: bytes, timeout_s: float
    ) -> Result[HttpResponse, StoreError]:
        target = f"{path}?{urlencode(query)}"
        answer = await self._client.request(
            method, target, body=body, headers=JSON_HEADERS, timeout_s=timeout_s
        )
        return _check_answer(answer, StoreErrorKind.UNKNOWN)


def _check_answer(
    answer: Result[HttpResponse, HttpFailure], without_answer: StoreErrorKind
) -> Result[HttpResponse, StoreError]:
    """Derive an error's kind from whether the call was sent, and from the status of the answer."""
    if isinstance(answer, Err):
        failure = answer.err_value
        kind = without_answer if failure.sent else StoreErrorKind.UNAVAILABLE
        return Err(StoreError(kind, failure.detail))
    response = answer.ok_value
    if response.status == 200:
        return Ok(response)
    detail = f"{response.status}: {response.body[:200].decode(errors='replace')}"
    return Err(StoreError(_error_kind(response, without_answer), detail))


def _error_kind(answer: HttpResponse, without_answer: StoreErrorKind) -> StoreErrorKind:
    if answer.status in CONFLICT_STATUSES:
        return StoreErrorKind.CONFLICT
    if answer.status in NOT_FOUND_STATUSES:
        return StoreErrorKind.NOT_FOUND
    if answer.status == TOO_LARGE_STATUS:
        return StoreErrorKind.TOO_LARGE
    had_no_effect = answer.headers.get(NO_EFFECT_HEADER) == NO_EFFECT or answer.status < 500
    return StoreErrorKind.UNAVAILABLE if had_no_effect else without_answer


def _parse_answer(
    answer: Result[HttpResponse, StoreError],
    parse: Any,
    malformed: StoreErrorKind = StoreErrorKind.UNAVAILABLE,
) -> Result[Any, StoreError]:
    if isinstance(answer, Err):
        return answer
    try:
        return Ok(parse(decode_json(answer.ok_value.body)))
    except (KeyError, TypeError, ValueError) as error:
        detail = f"malformed answer: {type(error).__name__}: {error}"
        return Err(StoreError(malformed, detail))


def _to_object(plain: dict[str, Any]) -> StoredObject:
    value = b64decode(plain["value"], validate=True)
    return StoredObject(str(plain["key"]), value, int(plain["version"]), int(plain["revision"]))


def _to_change(plain: dict[str, Any]) -> Change:
    value = None if plain["value"] is None else b64decode(plain["value"], validate=True)
    return Change(str(plain["key"]), value, int(plain["version"]), int(plain["revision"]))


def _to_page(plain: dict[str, Any]) -> WatchPage:
    changes = tuple(_to_change(item) for item in plain["changes"])
    return WatchPage(int(plain["revision"]), changes)


def _to_vm(plain: dict[str, Any]) -> VmEntry:
    return VmEntry(
        str(plain["node"]),
        str(plain["address"]),
        str(plain["region"]),
        str(plain["data_centre"]),
        bool(plain["leaving"]),
    )
