"""A stand-in of the platform's metadata store, speaking its published protocol over ASGI."""

from __future__ import annotations

import json
import re
from typing import Any
from typing import NamedTuple
from typing import final
from urllib.parse import unquote

import anyio

from bramleylead.http._exchange import Exchange
from bramleylead.http._exchange import Receive
from bramleylead.http._exchange import Scope
from bramleylead.http._exchange import Send
from bramleylead.http._responses import JSON_TYPE
from bramleylead.platform import _names as names

PAGE_OBJECTS = 500
MAX_BODY_BYTES = 2_000_000
FIRST_REVISION = 1

Plain = dict[str, Any]
RAW_KEY = "raw object"
RAW_OBJECT = re.compile(rb'{"raw object": ([0-9]+)}')


class _Event(NamedTuple):
    revision: int
    kind: str
    found: Plain
    removed: bool


@final
class PlatformStoreStandIn:
    """Objects by kind and name, with conditions on revisions, and watches.

    ``out`` refuses every call with 503; ``silent`` leaves it without an answer after it was done;
    ``calls`` counts calls by method.
    """

    def __init__(self) -> None:
        self._objects: dict[str, dict[str, Plain]] = {}
        self._raw: dict[int, bytes] = {}
        self._events: list[_Event] = []
        self._changed = anyio.Event()
        self._revision = FIRST_REVISION
        self._forgotten = 0
        self.out = False
        self.silent = False
        self.calls: dict[str, int] = {}

    async def app(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call."""
        exchange = Exchange(scope, receive, send)
        self.calls[exchange.method] = self.calls.get(exchange.method, 0) + 1
        if self.out:
            await exchange.respond(503, b"", [])
            return
        status, answer = await self._serve(exchange)
        if self.silent:
            await anyio.sleep_forever()
        headers = [("content-type", JSON_TYPE)]
        await exchange.respond(status, self._encode(answer), headers)

    def put(self, kind: str, name: str, value: Any) -> Plain:
        """Create or replace an object, as its own writer would."""
        found = self._objects.setdefault(kind, {}).get(name, {})
        if "metadata" not in found:
            found = _fresh(name)
        return self._record(kind, {**found, "specification": value})

    def put_raw(self, kind: str, name: str, item: bytes) -> None:
        """Create or replace an object that is sent as these bytes, whatever they are."""
        self.replace_unseen(kind, name, item)
        self._tell(_Event(self._revision, kind, self._objects[kind][name], False))

    def replace_unseen(self, kind: str, name: str, item: bytes) -> None:
        """Create or replace an object by bytes, as :meth:`put_raw`, but tell no watch."""
        self._revision += 1
        self._raw[self._revision] = item
        self._objects.setdefault(kind, {})[name] = {RAW_KEY: self._revision}

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        found = self._objects[kind].pop(name)
        self._revision += 1
        self._tell(_Event(self._revision, kind, found, True))

    def get(self, kind: str, name: str) -> Plain | None:
        """Return an object as it is."""
        return self._objects.get(kind, {}).get(name)

    def compact(self) -> None:
        """Forget the history: a watch from before must list again."""
        self._forgotten = self._revision
        self._events.clear()

    async def _serve(self, exchange: Exchange) -> tuple[int, Plain]:
        parts = exchange.path.removeprefix(names.OBJECTS_PATH).strip("/").split("/")
        kind, name, *rest = [*map(unquote, parts), ""]
        if exchange.method == "GET":
            return await self._read(exchange, kind, name)
        body = await exchange.read_body(max_bytes=MAX_BODY_BYTES, timeout_s=5.0)
        plain = json.loads(body.unwrap() or b"{}")
        if exchange.method == "POST":
            return self._create(kind, plain)
        found = self.get(kind, name)
        if found is None:
            return 404, {}
        expected = plain.get("metadata", {}).get("revision", found["metadata"]["revision"])
        if expected != found["metadata"]["revision"]:
            return 409, found
        part = "status" if rest[:1] == ["status"] else "specification"
        if found[part] == plain.get(part):
            return 200, found
        return 200, self._record(kind, {**found, part: plain.get(part)})

    async def _read(self, exchange: Exchange, kind: str, name: str) -> tuple[int, Plain]:
        if "watch" in exchange.query:
            return await self._watch(exchange, kind)
        if name:
            found = self.get(kind, name)
            return (200, found) if found else (404, {})
        after = exchange.query.get("after", "")
        items = [item for key, item in sorted(self._objects.get(kind, {}).items()) if key > after]
        more = len(items) > PAGE_OBJECTS
        page = {"items": items[:PAGE_OBJECTS], "has-more": more, "as-of": self._revision}
        return 200, page

    async def _watch(self, exchange: Exchange, kind: str) -> tuple[int, Plain]:
        after = int(exchange.query["watch"])
        with anyio.move_on_after(int(exchange.query.get("wait-ms", "0")) / 1000):
            while after >= self._forgotten and not self._after(kind, after):
                await self._changed.wait()
        if after < self._forgotten:
            return 410, {}
        events = [
            {"object": event.found, "removed": event.removed} for event in self._after(kind, after)
        ]
        return 200, {"events": events, "as-of": self._revision}

    def _encode(self, answer: Plain) -> bytes:
        text = json.dumps(answer).encode()
        return RAW_OBJECT.sub(lambda found: self._raw[int(found[1])], text)

    def _after(self, kind: str, revision: int) -> list[_Event]:
        return [event for event in self._events if event.kind == kind and event.revision > revision]

    def _create(self, kind: str, plain: Plain) -> tuple[int, Plain]:
        name = plain["metadata"]["name"]
        existing = self.get(kind, name)
        if existing is not None:
            return 409, existing
        return 200, self.put(kind, name, plain.get("specification"))

    def _record(self, kind: str, found: Plain) -> Plain:
        self._revision += 1
        about = {**found["metadata"], "revision": self._revision}
        made = {**found, "metadata": about}
        self._objects.setdefault(kind, {})[about["name"]] = made
        self._tell(_Event(self._revision, kind, made, False))
        return made

    def _tell(self, event: _Event) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = anyio.Event()


def _fresh(name: str) -> Plain:
    about = {"name": name, "revision": 0, "created": 0, names.FINALIZERS: [], "deleting": False}
    return {"metadata": about, "specification": None, "status": None}
