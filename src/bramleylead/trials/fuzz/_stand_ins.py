"""Stand-ins of the store and of replicas that answer with the bytes of a case where one is due."""

from __future__ import annotations

from collections.abc import MutableMapping
from typing import Any
from typing import NamedTuple
from typing import final
from urllib.parse import unquote

import anyio

from bramleylead.platform import _names as names
from bramleylead.standins._platform_store import PlatformStoreStandIn
from bramleylead.trials.fuzz._raw import RawAnswer
from bramleylead.trials.fuzz._raw import RawRequest

TRIGGER = "odd-trigger"
GOOD_EVENTS = b"".join(f"id: {number}\ndata: word {number}\n\n".encode() for number in range(1, 6))


class Run(NamedTuple):
    """What a replica was asked."""

    request: str
    method: str
    target: str
    body: bytes


@final
class OddReplica:
    """A replica that answers some requests with the bytes of a case, and the others well.

    ``delay_s`` passes before each answer.
    """

    def __init__(self, name: str) -> None:
        self._answers: dict[str, tuple[bytes, ...]] = {}
        self.name = name
        self.delay_s = 0.0
        self.runs: list[Run] = []

    def script(self, request: str, parts: tuple[bytes, ...]) -> None:
        """Answer a request with these bytes, whenever it comes."""
        self._answers[request] = parts

    async def answer(self, request: RawRequest) -> RawAnswer:
        """Answer one request."""
        name = request.headers.get(names.REQUEST_ID, "")
        self.runs.append(Run(name, request.method, request.target, request.body))
        await anyio.sleep(self.delay_s)
        if name in self._answers:
            return RawAnswer(self._answers[name], keep=False)
        lines = {
            names.REQUEST_ID: name,
            names.SERVER_STAMP: f"stamp-{name}",
            "content-type": "text/event-stream",
            "content-length": str(len(GOOD_EVENTS)),
        }
        head = "".join(f"{header}: {value}\r\n" for header, value in lines.items())
        body = b"" if request.method == "HEAD" else GOOD_EVENTS
        data = f"HTTP/1.1 200 OK\r\n{head}\r\n".encode("latin-1") + body
        return RawAnswer((data,), keep=True)


@final
class OddStore:
    """The store's stand-in; the next answer on a kind may be replaced by the bytes of a case."""

    def __init__(self, store: PlatformStoreStandIn) -> None:
        self._store = store
        self._pending: dict[str, tuple[bytes, ...]] = {}
        self._texts: dict[bytes, bytes] = {}
        self._answered = anyio.Event()

    def replace_next(self, kind: str, parts: tuple[bytes, ...]) -> None:
        """Answer the next call on a kind with these bytes, and let the watches of it answer."""
        self._pending[kind] = parts
        self._store.put(kind, TRIGGER, {"number": len(self._texts)})

    async def wait_answered(self, kind: str) -> None:
        """Wait until no answer on a kind is due."""
        while kind in self._pending:
            await self._answered.wait()

    def put_text(self, name: str, text: bytes) -> None:
        """List an entry of another writer, whose value is this JSON text or no JSON at all."""
        place = f"@odd {len(self._texts)}@"
        self._texts[f'"{place}"'.encode()] = text
        self._store.put(names.REPLICA_KIND, name, place)

    def remove(self, name: str) -> None:
        """Remove an entry again."""
        if self._store.get(names.REPLICA_KIND, name) is not None:
            self._store.remove(names.REPLICA_KIND, name)

    async def answer(self, request: RawRequest) -> RawAnswer:
        """Answer one call."""
        path, _, query = request.target.partition("?")
        kind = unquote(path.removeprefix(names.OBJECTS_PATH).strip("/").partition("/")[0])
        status, body = await self._serve(request, path, query)
        if request.method == "GET" and kind in self._pending:
            parts = self._pending.pop(kind)
            self._answered.set()
            self._answered = anyio.Event()
            return RawAnswer(parts, keep=False)
        for place, text in self._texts.items():
            body = body.replace(place, text)
        head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\n\r\n"
        return RawAnswer((head.encode() + body,), keep=True)

    async def _serve(self, request: RawRequest, path: str, query: str) -> tuple[int, bytes]:
        sent: list[MutableMapping[str, Any]] = []

        async def receive() -> MutableMapping[str, Any]:
            return {"type": "http.request", "body": request.body, "more_body": False}

        async def send(event: MutableMapping[str, Any]) -> None:
            sent.append(event)

        scope = {
            "method": request.method,
            "path": unquote(path),
            "query_string": query.encode(),
            "headers": [(b"content-length", str(len(request.body)).encode())],
        }
        await self._store.app(scope, receive, send)
        return sent[0]["status"], b"".join(event.get("body", b"") for event in sent[1:])
