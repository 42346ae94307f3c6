"""The object API over HTTP, from any store; ``docs/object-api.md`` describes the format."""

from __future__ import annotations

import math
from base64 import b64decode
from base64 import b64encode
from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import Any
from typing import TypeVar

from result import Err
from result import Result

from bramleylead.platform import FolderStore
from bramleylead.platform import MemoryStore
from bramleylead.platform import StoredObject
from bramleylead.platform import StoreError
from bramleylead.platform import StoreErrorKind
from bramleylead.platform import VmEntry
from bramleylead.platform._http_client import NO_EFFECT
from bramleylead.platform._http_client import NO_EFFECT_HEADER
from bramleylead.platform._store import ANY_VERSION
from bramleylead.standins._asgi import Answer
from bramleylead.standins._asgi import BadRequestError
from bramleylead.standins._asgi import Request
from bramleylead.standins._asgi import Routes
from bramleylead.standins._asgi import json_answer
from bramleylead.standins._serving import serve_app

MAX_WATCH_S = 60.0
MAX_PAGE_OBJECTS = 1000
STATUSES = {
    StoreErrorKind.CONFLICT: 409,
    StoreErrorKind.NOT_FOUND: 404,
    StoreErrorKind.UNAVAILABLE: 503,
    StoreErrorKind.UNKNOWN: 500,
    StoreErrorKind.TOO_LARGE: 413,
}

LocalStore = MemoryStore | FolderStore
_Number = TypeVar("_Number", int, float)


def objects_app(store: LocalStore) -> Routes:
    """Return the ASGI application that serves a store."""
    routes = Routes()
    _add_objects(routes, store)
    _add_reads(routes, store)
    _add_vms(routes, store)
    return routes


@asynccontextmanager
async def serve_objects(store: LocalStore, address: str) -> AsyncIterator[str]:
    """Serve a store at ``ip:port`` (port 0 takes a free one); yields the bound address."""
    async with serve_app(objects_app(store), address) as bound:
        yield bound


def _add_objects(routes: Routes, store: LocalStore) -> None:
    @routes.route("GET", "/v1/object")
    async def get(request: Request) -> Answer:
        found = await store.get(request.parameter("key"))
        return _answer(found, _plain_object)

    @routes.route("PUT", "/v1/object")
    async def put(request: Request) -> Answer:
        value = _value(request)
        expected = _number(request, "expected", int, str(ANY_VERSION))
        written = await store.put(request.parameter("key"), value, expected=expected)
        return _answer(written, lambda version: {"version": version})

    @routes.route("DELETE", "/v1/object")
    async def delete(request: Request) -> Answer:
        expected = _number(request, "expected", int, str(ANY_VERSION))
        deleted = await store.delete(request.parameter("key"), expected=expected)
        return _answer(deleted, lambda _: {})


def _add_reads(routes: Routes, store: LocalStore) -> None:
    @routes.route("GET", "/v1/objects")
    async def list_objects(request: Request) -> Answer:
        limit = min(MAX_PAGE_OBJECTS, _number(request, "limit", int, "500"))
        after = request.query.get("after", "")
        found = await store.list(request.query.get("prefix", ""), after=after, limit=limit)
        return _answer(found, lambda objects: {"objects": [_plain_object(o) for o in objects]})

    @routes.route("GET", "/v1/watch")
    async def watch(request: Request) -> Answer:
        timeout_s = min(MAX_WATCH_S, _number(request, "timeout_s", float, "30"))
        found = await store.watch(
            request.query.get("prefix", ""),
            after_revision=_number(request, "after_revision", int, "0"),
            timeout_s=timeout_s,
        )
        return _answer(found, _plain_page)


def _add_vms(routes: Routes, store: LocalStore) -> None:
    @routes.route("GET", "/v1/vms")
    async def vms(request: Request) -> Answer:
        return _answer(
            await store.vms(), lambda entries: {"vms": [entry._asdict() for entry in entries]}
        )

    @routes.route("PUT", "/v1/vms")
    async def set_vm(request: Request) -> Answer:
        entry = _vm(request.json())
        if isinstance(store, FolderStore):
            await store.set_vm(entry)
        else:
            store.set_vm(entry)
        return json_answer({})

    @routes.route("DELETE", "/v1/vms")
    async def remove_vm(request: Request) -> Answer:
        node = request.parameter("node")
        if isinstance(store, FolderStore):
            await store.remove_vm(node)
        else:
            store.remove_vm(node)
        return json_answer({})


def _answer(result: Result[Any, StoreError], to_plain: Callable[[Any], Any]) -> Answer:
    if isinstance(result, Err):
        error = result.err_value
        body = {"error": {"kind": error.kind.value, "message": error.detail}}
        headers = {NO_EFFECT_HEADER: NO_EFFECT}
        if error.kind is StoreErrorKind.UNKNOWN:
            headers = {}
        return json_answer(body, status=STATUSES[error.kind], headers=headers)
    return json_answer(to_plain(result.ok_value))


def _value(request: Request) -> bytes:
    text = request.json().get("value")
    if not isinstance(text, str):
        raise BadRequestError("body: value must be base64 text")
    try:
        return b64decode(text, validate=True)
    except ValueError as error:
        raise BadRequestError(f"body: value must be base64 text: {error}") from error


def _number(request: Request, name: str, kind: type[_Number], default: str) -> _Number:
    text = request.query.get(name, default)
    try:
        number = kind(text)
    except ValueError as error:
        raise BadRequestError(f"query: {name}: {text!r} is no number") from error
    if not math.isfinite(number) or number < ANY_VERSION:
        raise BadRequestError(f"query: {name}: {text!r} must be at least {ANY_VERSION}")
    return number


def _vm(plain: dict[str, Any]) -> VmEntry:
    try:
        return VmEntry(
            node=str(plain["node"]),
            address=str(plain["address"]),
            region=str(plain["region"]),
            data_centre=str(plain["data_centre"]),
            leaving=plain.get("leaving", False) is True,
        )
    except KeyError as error:
        raise BadRequestError(f"body: {error} is missing") from error


def _plain_object(found: StoredObject) -> dict[str, Any]:
    return {
        "key": found.key,
        "value": b64encode(found.value).decode(),
        "version": found.version,
        "revision": found.revision,
    }


def _plain_page(page: Any) -> dict[str, Any]:
    changes = [
        {
            "key": change.key,
            "value": None if change.value is None else b64encode(change.value).decode(),
            "version": change.version,
            "revision": change.revision,
        }
        for change in page.changes
    ]
    return {"revision": page.revision, "changes": changes}
