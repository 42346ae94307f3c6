"""Creates and caches the clients of endpoints; a decorator registers a maker for each kind."""

from __future__ import annotations

from collections.abc import Callable
from types import TracebackType
from typing import Any
from typing import NamedTuple
from typing import Self
from typing import final

from bramleylead.backends._http_engine import PROGRESS_TIMEOUT_S
from bramleylead.backends._http_engine import HttpEngine
from bramleylead.backends._http_service import HttpService
from bramleylead.backends._types import Engine
from bramleylead.backends._types import Service
from bramleylead.connection._http_client import HttpClient
from bramleylead.version import Endpoint
from bramleylead.version import EndpointKind


class StreamTimings(NamedTuple):
    """Timings for reading the streams of engines.

    :param progress_s: time without data after which a stream is resumed on a new connection.
    :param gather_s: delay before each read after the first text, so that one read returns several
        tokens.
    """

    progress_s: float = PROGRESS_TIMEOUT_S
    gather_s: float = 0.0


Maker = Callable[[str, HttpClient, StreamTimings], Any]

_makers: dict[EndpointKind, Maker] = {}


def backend_kind(kind: EndpointKind) -> Callable[[Maker], Maker]:
    """Register a function that creates the client of one kind of endpoint.

    :raises ValueError: if the kind is registered already.
    """

    def register(maker: Maker) -> Maker:
        if kind in _makers:
            raise ValueError(f"endpoint kind {kind.value} is registered already")
        _makers[kind] = maker
        return maker

    return register


@backend_kind(EndpointKind.ENGINE)
def _make_engine(name: str, client: HttpClient, timings: StreamTimings) -> HttpEngine:
    return HttpEngine(
        name, client, progress_timeout_s=timings.progress_s, coalesce_s=timings.gather_s
    )


@backend_kind(EndpointKind.SERVICE)
def _make_service(name: str, client: HttpClient, timings: StreamTimings) -> HttpService:
    return HttpService(name, client)


@final
class HttpBackends:
    """The ``BackendFactory`` over HTTP; leaving the context closes every connection.

    :param progress_s: time without data after which a stream is resumed on a new connection.
    :param gather_s: delay before each read of a stream after the first text.
    """

    def __init__(self, *, progress_s: float = PROGRESS_TIMEOUT_S, gather_s: float = 0.0) -> None:
        self._timings = StreamTimings(progress_s, gather_s)
        self._http_clients: dict[tuple[EndpointKind, str], HttpClient] = {}
        self._clients: dict[tuple[EndpointKind, str, str], Any] = {}

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for http_client in self._http_clients.values():
            await http_client.aclose()

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
            http_client = self._http_client(endpoint.address, kind)
            client = _makers[kind](name, http_client, self._timings)
            self._clients[key] = client
        return client

    def _http_client(self, address: str, kind: EndpointKind) -> HttpClient:
        """Return the HTTP client for an address.

        Calls to services never reuse a connection. An idle connection may be dead without notice,
        and a call sent on it would have an unknown outcome, where a new connection would work.
        """
        http_client = self._http_clients.get((kind, address))
        if http_client is None:
            http_client = HttpClient(address, keep_alive=kind is EndpointKind.ENGINE)
            self._http_clients[kind, address] = http_client
        return http_client
