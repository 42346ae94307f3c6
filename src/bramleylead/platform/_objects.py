"""An HTTP client of the platform's metadata store. Calls are not retried.

A write that was sent but not answered fails with ``UNKNOWN``, since it may have taken effect. Any
other call without an answer had no effect and fails with ``UNAVAILABLE``.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from types import TracebackType
from typing import TYPE_CHECKING
from typing import Any
from typing import Self
from typing import TypeVar
from typing import final
from urllib.parse import quote
from urllib.parse import urlencode

from result import Err
from result import Ok
from result import Result

from bramleylead.platform import _names as names
from bramleylead.platform._object_reader import ObjectReader
from bramleylead.platform._object_types import ChangePage
from bramleylead.platform._object_types import ObjectChange
from bramleylead.platform._object_types import ObjectPage
from bramleylead.platform._object_types import PlatformObject
from bramleylead.platform._store import StoreError
from bramleylead.platform._store import StoreErrorKind

if TYPE_CHECKING:
    from bramleylead.connection._http_client import HttpClient
    from bramleylead.connection._http_client import HttpResponse

JSON_HEADERS = {"content-type": "application/json"}
CALL_TIMEOUT_S = 1.5
KEEPALIVE_IDLE_S = 2
WATCH_SLACK_S = 1.0
STATUS_KINDS = {
    404: StoreErrorKind.NOT_FOUND,
    409: StoreErrorKind.CONFLICT,
    410: StoreErrorKind.NOT_FOUND,
    413: StoreErrorKind.TOO_LARGE,
    429: StoreErrorKind.UNAVAILABLE,
    503: StoreErrorKind.UNAVAILABLE,
}

_Read = TypeVar("_Read")

__all__ = ["ChangePage", "ObjectChange", "ObjectPage", "PlatformObject", "PlatformStore"]


@final
class PlatformStore:
    """The store at ``host:port``; leaving the context closes the connections.

    The HTTP client and its library are loaded by the first call, since a gateway may need none.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._client: HttpClient | None = None
        self._reader = ObjectReader()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._client is not None:
            await self._client.aclose()

    async def list(self, kind: str, *, after: str = "") -> Result[ObjectPage, StoreError]:
        """Read a page of the objects of a kind, those after a name."""
        query = f"?{urlencode({'after': after})}" if after else ""
        answer = await self._call("GET", f"{_path(kind)}{query}", timeout_s=CALL_TIMEOUT_S)
        return self._read_answer(answer, kind, self._reader.read_page)

    async def get(self, kind: str, name: str) -> Result[PlatformObject, StoreError]:
        """Read one object."""
        answer = await self._call("GET", _path(kind, name), timeout_s=CALL_TIMEOUT_S)
        return self._read_answer(answer, kind, self._reader.read_object)

    async def watch(
        self, kind: str, *, after: int, wait_s: float
    ) -> Result[ChangePage, StoreError]:
        """Wait for changes of a kind after a revision; ``NOT_FOUND`` if they are not all known."""
        query = urlencode({"watch": after, "wait-ms": int(wait_s * 1000)})
        answer = await self._call("GET", f"{_path(kind)}?{query}", timeout_s=wait_s + WATCH_SLACK_S)
        return self._read_answer(answer, kind, self._reader.read_changes)

    async def list_stale(self, kind: str, *, timeout_s: float) -> Result[ObjectPage, StoreError]:
        """Read the first objects of a kind at a tenth of the cost; they may be seconds old."""
        answer = await self._call("GET", f"{_path(kind)}?{names.STALE_READ}", timeout_s=timeout_s)
        return self._read_answer(answer, kind, self._reader.read_page)

    async def create(self, kind: str, name: str, value: Any) -> Result[PlatformObject, StoreError]:
        """Create an object; ``CONFLICT`` if it exists."""
        body = {"metadata": {"name": name}, "specification": value}
        answer = await self._call("POST", _path(kind), body=body, timeout_s=CALL_TIMEOUT_S)
        return self._read_answer(answer, kind, self._reader.read_object)

    async def replace(
        self, kind: str, name: str, value: Any, *, revision: int
    ) -> Result[PlatformObject, StoreError]:
        """Replace an object's value if it is at a revision; ``CONFLICT`` otherwise."""
        body = {"metadata": {"name": name, "revision": revision}, "specification": value}
        answer = await self._call("PUT", _path(kind, name), body=body, timeout_s=CALL_TIMEOUT_S)
        return self._read_answer(answer, kind, self._reader.read_object)

    async def set_status(
        self, kind: str, name: str, status: Any
    ) -> Result[PlatformObject, StoreError]:
        """Replace an object's status."""
        body = {"metadata": {"name": name}, "status": status}
        path = f"{_path(kind, name)}/status"
        answer = await self._call("PUT", path, body=body, timeout_s=CALL_TIMEOUT_S)
        return self._read_answer(answer, kind, self._reader.read_object)

    async def _call(
        self, method: str, target: str, *, timeout_s: float, body: Any = None
    ) -> Result[HttpResponse, StoreError]:
        content = b"" if body is None else json.dumps(body).encode()
        answer = await self._http_client().request(
            method, target, body=content, headers=JSON_HEADERS, timeout_s=timeout_s
        )
        if isinstance(answer, Err):
            failure = answer.err_value
            written = method != "GET" and failure.sent
            kind = StoreErrorKind.UNKNOWN if written else StoreErrorKind.UNAVAILABLE
            return Err(StoreError(kind, failure.detail))
        response = answer.ok_value
        if response.status in (200, 201, 204):
            return Ok(response)
        kind = STATUS_KINDS.get(response.status, StoreErrorKind.UNKNOWN)
        detail = (
            f"{method} {target}: {response.status}: {response.body[:200].decode(errors='replace')}"
        )
        return Err(StoreError(kind, detail))

    def _read_answer(
        self,
        answer: Result[HttpResponse, StoreError],
        kind: str,
        read: Callable[[str, bytes], _Read],
    ) -> Result[_Read, StoreError]:
        if isinstance(answer, Err):
            return answer
        try:
            return Ok(read(kind, answer.ok_value.body))
        except (KeyError, TypeError, ValueError) as error:
            detail = f"malformed answer: {type(error).__name__}: {error}"
            return Err(StoreError(StoreErrorKind.UNKNOWN, detail))

    def _http_client(self) -> HttpClient:
        if self._client is None:
            from bramleylead.connection._http_client import HttpClient

            self._client = HttpClient(self._address, keepalive_idle_s=KEEPALIVE_IDLE_S)
        return self._client


def _path(kind: str, name: str = "") -> str:
    path = f"{names.OBJECTS_PATH}/{quote(kind, safe='')}"
    return f"{path}/{quote(name, safe='')}" if name else path
