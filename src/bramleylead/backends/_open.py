"""The clients of all endpoints of one node; a decorator registers how each kind is made."""

from __future__ import annotations

from collections.abc import Callable
from types import TracebackType
from typing import Any
from typing import NamedTuple
from typing import Self
from typing import final

from bramleylead.backends._http_engine import PROGRESS_S
from bramleylead.backends._http_engine import HttpEngine
from bramleylead.backends._http_service import HttpService
from bramleylead.backends._types import Engine
from bramleylead.backends._types import Service
from bramleylead.connection._http_client import HttpClient
from bramleylead.version import Endpoint
from bramleylead.version import EndpointKind


class StreamTimes(NamedTuple):
    """How engines' streams are read.

    :param progress_s: silence after which a stream is taken up on a fresh connection.
    :param gather_s: pause before a read, so that tokens that come close together are one part.
    """

    progress_s: float = PROGRESS_S
    gather_s: float = 0.0


Maker = Callable[[str, HttpClient, StreamTimes], Any]

_makers: dict[EndpointKind, Maker] = {}


def backend_kind(kind: EndpointKind) -> Callable[[Maker], Maker]:
    """Register how the client of one kind of endpoint is made.

    :raises ValueError: if the kind is registered already.
    """

    def register(maker: Maker) -> Maker:
        if kind in _makers:
            raise ValueError(f"endpoint kind {kind.value} is registered already")
        _makers[kind] = maker
        return maker

    return register


@backend_kind(EndpointKind.ENGINE)
def _make_engine(name: str, client: HttpClient, times: StreamTimes) -> HttpEngine:
    return HttpEngine(name, client, progress_s=times.progress_s, gather_s=times.gather_s)


@backend_kind(EndpointKind.SERVICE)
def _make_service(name: str, client: HttpClient, times: StreamTimes) -> HttpService:
    return HttpService(name, client)


@final
class HttpBackends:
    """The product's ``BackendFactory`` over HTTP; leaving the context closes every connection.

    :param progress_s: silence after which an engine's stream is taken up on a fresh connection.
    :param gather_s: pause before each read of a stream after the first text.
    """

    def __init__(self, *, progress_s: float = PROGRESS_S, gather_s: float = 0.0) -> None:
        self._times = StreamTimes(progress_s, gather_s)
        self._connections: dict[tuple[EndpointKind, str], HttpClient] = {}
        self._clients: dict[tuple[EndpointKind, str, str], Any] = {}

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for connection in self._connections.values():
            await connection.aclose()

    def engine(self, name: str, endpoint: Endpoint) -> Engine:
        """Return the client of a model engine.

        :raises ValueError: if the endpoint is not an engine.
        """
        return self._client(name, endpoint, EndpointKind.ENGINE)

    def service(self, name: str, endpoint: Endpoint) -> Service:
        """Return the client of a plain service.

        :raises ValueError: if the endpoint is not a plain service.
        """
        return self._client(name, endpoint, EndpointKind.SERVICE)

    def _client(self, name: str, endpoint: Endpoint, kind: EndpointKind) -> Any:
        if endpoint.kind is not kind:
            raise ValueError(f"{name} is of kind {endpoint.kind.value}, not {kind.value}")
        key = (kind, name, endpoint.address)
        client = self._clients.get(key)
        if client is None:
            connection = self._connection(endpoint.address, kind)
            client = _makers[kind](name, connection, self._times)
            self._clients[key] = client
        return client

    def _connection(self, address: str, kind: EndpointKind) -> HttpClient:
        """Return the connections to an address.

        A service's call never goes over a kept connection: one that went silent unseen would make
        the outcome of a call unknown that a fresh connection would have carried.
        """
        connection = self._connections.get((kind, address))
        if connection is None:
            connection = HttpClient(address, keep_alive=kind is EndpointKind.ENGINE)
            self._connections[kind, address] = connection
        return connection
