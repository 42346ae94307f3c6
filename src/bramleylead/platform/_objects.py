"""An HTTP client of the platform's metadata store. Calls are not retried.

A write that was sent but not answered fails with ``UNKNOWN``, since it may have taken effect. Any
other call without an answer had no effect and fails with ``UNAVAILABLE``.
"""

from __future__ import annotations

import json
from types import TracebackType
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import Self
from typing import final
from urllib.parse import quote
from urllib.parse import urlencode

import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.platform import _names as names
from bramleylead.platform._store import StoreError
from bramleylead.platform._store import StoreErrorKind

if TYPE_CHECKING:
    from bramleylead.connection._http_client import HttpClient
    from bramleylead.connection._http_client import HttpResponse

JSON_HEADERS = {"content-type": "application/json"}
CALL_TIMEOUT_S = 1.5
KEEPALIVE_IDLE_S = 2
WATCH_SLACK_S = 1.0
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**64 - 1
STATUS_KINDS = {
    404: StoreErrorKind.NOT_FOUND,
    409: StoreErrorKind.CONFLICT,
    410: StoreErrorKind.NOT_FOUND,
    413: StoreErrorKind.TOO_LARGE,
    429: StoreErrorKind.UNAVAILABLE,
    503: StoreErrorKind.UNAVAILABLE,
}


log = structlog.get_logger()


class PlatformObject(NamedTuple):
    """One object of a kind.

    :param value: the value set by its writer; ``None`` if it can't be read.
    :param status: the status reported by the system.
    :param revision: the store's revision of its last change.
    :param deleting: whether it is removed once its finalizers are.
    """

    name: str
    value: Any
    status: Any
    revision: int
    deleting: bool


class ObjectPage(NamedTuple):
    """Objects of a kind as of a revision of the store; ``more`` is set if others follow."""

    objects: tuple[PlatformObject, ...]
    more: bool
    as_of: int


class ObjectChange(NamedTuple):
    """One change reported by a watch."""

    object: PlatformObject
    removed: bool


class ChangePage(NamedTuple):
    """The changes returned by a watch, and the revision to continue from."""

    changes: tuple[ObjectChange, ...]
    as_of: int


@final
class PlatformStore:
    """The store at ``host:port``; leaving the context closes the connections.

    The HTTP client and its library are loaded by the first call, since a gateway may need none.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._client: HttpClient | None = None

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
        return _parse_answer(answer, _to_page)

    async def get(self, kind: str, name: str) -> Result[PlatformObject, StoreError]:
        """Read one object."""
        answer = await self._call("GET", _path(kind, name), timeout_s=CALL_TIMEOUT_S)
        return _parse_answer(answer, _to_object)

    async def watch(
        self, kind: str, *, after: int, wait_s: float
    ) -> Result[ChangePage, StoreError]:
        """Wait for changes of a kind after a revision; ``NOT_FOUND`` if they are not all known."""
        query = urlencode({"watch": after, "wait-ms": int(wait_s * 1000)})
        answer = await self._call("GET", f"{_path(kind)}?{query}", timeout_s=wait_s + WATCH_SLACK_S)
        return _parse_answer(answer, _to_changes)

    async def list_stale(self, kind: str, *, timeout_s: float) -> Result[ObjectPage, StoreError]:
        """Read the first objects of a kind at a tenth of the cost; they may be seconds old."""
        answer = await self._call("GET", f"{_path(kind)}?{names.STALE_READ}", timeout_s=timeout_s)
        return _parse_answer(answer, _to_page)

    async def create(self, kind: str, name: str, value: Any) -> Result[PlatformObject, StoreError]:
        """Create an object; ``CONFLICT`` if it exists."""
        body = {"metadata": {"name": name}, "specification": value}
        answer = await self._call("POST", _path(kind), body=body, timeout_s=CALL_TIMEOUT_S)
        return _parse_answer(answer, _to_object)

    async def replace(
        self, kind: str, name: str, value: Any, *, revision: int
    ) -> Result[PlatformObject, StoreError]:
        """Replace an object's value if it is at a revision; ``CONFLICT`` otherwise."""
        body = {"metadata": {"name": name, "revision": revision}, "specification": value}
        answer = await self._call("PUT", _path(kind, name), body=body, timeout_s=CALL_TIMEOUT_S)
        return _parse_answer(answer, _to_object)

    async def set_status(
        self, kind: str, name: str, status: Any
    ) -> Result[PlatformObject, StoreError]:
        """Replace an object's status."""
        body = {"metadata": {"name": name}, "status": status}
        path = f"{_path(kind, name)}/status"
        answer = await self._call("PUT", path, body=body, timeout_s=CALL_TIMEOUT_S)
        return _parse_answer(answer, _to_object)

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

    def _http_client(self) -> HttpClient:
        if self._client is None:
            from bramleylead.connection._http_client import HttpClient

            self._client = HttpClient(self._address, keepalive_idle_s=KEEPALIVE_IDLE_S)
        return self._client


def _path(kind: str, name: str = "") -> str:
    path = f"{names.OBJECTS_PATH}/{quote(kind, safe='')}"
    return f"{path}/{quote(name, safe='')}" if name else path


def _parse_answer(answer: Result[HttpResponse, StoreError], parse: Any) -> Result[Any, StoreError]:
    if isinstance(answer, Err):
        return answer
    try:
        return Ok(parse(json.loads(answer.ok_value.body)))
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        detail = f"malformed answer: {type(error).__name__}: {error}"
        return Err(StoreError(StoreErrorKind.UNKNOWN, detail))


def _to_object(plain: dict[str, Any]) -> PlatformObject:
    metadata = plain["metadata"]
    name = str(metadata["name"])
    return PlatformObject(
        name=name,
        value=_portable(name, plain.get("specification")),
        status=_portable(name, plain.get("status")),
        revision=int(metadata["revision"]),
        deleting=bool(metadata.get("deleting", False)),
    )


def _portable(name: str, value: Any) -> Any:
    """Return a value if messages between nodes can carry it, else ``None``."""
    if _is_portable(value):
        return value
    log.warning("object_unreadable", object=name, reason="number over 64 bits or invalid text")
    return None


def _is_portable(value: Any) -> bool:
    """Return whether msgpack encodes a decoded JSON value: integers of 64 bits, text in UTF-8."""
    if isinstance(value, dict):
        return all(_is_portable(key) and _is_portable(item) for key, item in value.items())
    if isinstance(value, list):
        return all(map(_is_portable, value))
    if isinstance(value, int):
        return MIN_INTEGER <= value <= MAX_INTEGER
    return not isinstance(value, str) or value.isascii() or _is_utf8(value)


def _is_utf8(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _to_page(plain: dict[str, Any]) -> ObjectPage:
    objects = tuple(_to_object(item) for item in plain["items"])
    return ObjectPage(objects, bool(plain["has-more"]), int(plain["as-of"]))


def _to_changes(plain: dict[str, Any]) -> ChangePage:
    changes = tuple(
        ObjectChange(_to_object(event["object"]), bool(event["removed"]))
        for event in plain["events"]
    )
    return ChangePage(changes, int(plain["as-of"]))
