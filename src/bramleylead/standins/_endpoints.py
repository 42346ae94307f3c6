"""All fake engines and services of one trial by address, and what each node reaches of them."""

from __future__ import annotations

import random
from typing import final

import anyio
from anyio.abc import TaskGroup
from anyio.abc import TaskStatus

from bramleylead.backends import Engine
from bramleylead.backends import Service
from bramleylead.connection._tcp import split_address
from bramleylead.standins._engine import FakeEngine
from bramleylead.standins._engine_ledger import EngineLedger
from bramleylead.standins._engine_settings import EngineModelSettings
from bramleylead.standins._engine_view import EngineView
from bramleylead.standins._link import Link
from bramleylead.standins._network import FakeNetwork
from bramleylead.standins._service import FakeService
from bramleylead.standins._service import ServiceLedger
from bramleylead.standins._service import ServiceView
from bramleylead.standins._service import ToolModel
from bramleylead.standins._weights import FakeWeightStore
from bramleylead.version import Endpoint
from bramleylead.version import EndpointKind

PROGRESS_S = 3.0


@final
class FakeEndpoints:
    """The endpoints of one trial; :meth:`run` drives the engines.

    Endpoints stand at addresses whose hosts have a place on the network.
    """

    def __init__(self, network: FakeNetwork, *, seed: int, progress_s: float = PROGRESS_S) -> None:
        self.network = network
        self.progress_s = progress_s
        self.engines: dict[str, FakeEngine] = {}
        self.services: dict[str, FakeService] = {}
        self.engine_ledger = EngineLedger()
        self.service_ledger = ServiceLedger()
        self.weights = FakeWeightStore()
        self._seed = seed
        self._backends: list[FakeBackends] = []
        self._tasks: TaskGroup | None = None

    def add_engine(
        self, name: str, address: str, settings: EngineModelSettings | None = None
    ) -> FakeEngine:
        """Put an engine at an address, now or while the trial runs."""
        engine = FakeEngine(
            name,
            EngineModelSettings() if settings is None else settings,
            rng=self._rng(name),
            ledger=self.engine_ledger,
            weights=self.weights,
        )
        self.engines[address] = engine
        if self._tasks is not None:
            self._tasks.start_soon(engine.run)
        return engine

    def add_service(
        self, name: str, address: str, tools: dict[str, ToolModel], *, checks_fence: bool = False
    ) -> FakeService:
        """Put a plain service at an address."""
        service = FakeService(
            name,
            tools,
            rng=self._rng(name),
            ledger=self.service_ledger,
            checks_fence=checks_fence,
        )
        self.services[address] = service
        return service

    def backends(self, host: str) -> FakeBackends:
        """Return what one node reaches; a node that starts again needs a new one."""
        made = FakeBackends(self, host)
        self._backends.append(made)
        return made

    async def run(self, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED) -> None:
        """Drive the engines until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for engine in self.engines.values():
                tasks.start_soon(engine.run)
            task_status.started()
            try:
                await anyio.sleep_forever()
            finally:
                self._tasks = None

    def silence(self, host: str, address: str) -> None:
        """Make a node's open connections to an endpoint go silent; new ones work."""
        for backends in self._backends:
            if backends.host == host:
                backends.silence(address)

    @property
    def bytes_between_regions(self) -> int:
        """Bytes between nodes and endpoints that crossed regions."""
        return sum(backends.bytes_between_regions for backends in self._backends)

    def _rng(self, name: str) -> random.Random:
        return random.Random(f"{self._seed}/{name}")


@final
class FakeBackends:
    """The product's ``BackendFactory`` over the endpoints of a trial, seen from one host."""

    def __init__(self, endpoints: FakeEndpoints, host: str) -> None:
        self.host = host
        self._endpoints = endpoints
        self._engines: dict[str, EngineView] = {}
        self._services: dict[str, ServiceView] = {}

    def engine(self, name: str, endpoint: Endpoint) -> Engine:
        """Return the client of a model engine; nothing may stand at its address.

        :raises ValueError: if the endpoint is not an engine.
        """
        if endpoint.kind is not EndpointKind.ENGINE:
            raise ValueError(f"{name} is no engine but a {endpoint.kind.value}")
        view = self._engines.get(endpoint.address)
        if view is None:
            engine = self._endpoints.engines.get(endpoint.address) or _no_engine(name)
            link = self._link(endpoint.address)
            view = EngineView(engine, link, progress_s=self._endpoints.progress_s)
            if not engine.crashed or endpoint.address in self._endpoints.engines:
                self._engines[endpoint.address] = view
        return view

    def service(self, name: str, endpoint: Endpoint) -> Service:
        """Return the client of a plain service; nothing may stand at its address.

        :raises ValueError: if the endpoint is not a plain service.
        """
        if endpoint.kind is not EndpointKind.SERVICE:
            raise ValueError(f"{name} is no service but an {endpoint.kind.value}")
        view = self._services.get(endpoint.address)
        if view is None:
            service = self._endpoints.services.get(endpoint.address)
            view = ServiceView(service or _no_service(name), self._link(endpoint.address))
            if service is not None:
                self._services[endpoint.address] = view
        return view

    def silence(self, address: str) -> None:
        """Make the open connections to an endpoint go silent."""
        for views in (self._engines, self._services):
            view = views.get(address)
            if view is not None:
                view.link.silence()

    @property
    def bytes_between_regions(self) -> int:
        """Bytes of this node to and from endpoints that crossed regions."""
        views = [*self._engines.values(), *self._services.values()]
        return sum(view.link.bytes_between_regions for view in views)

    def _link(self, address: str) -> Link:
        return Link(self._endpoints.network, self.host, split_address(address)[0])


def _no_engine(name: str) -> FakeEngine:
    engine = FakeEngine(name, EngineModelSettings(), rng=random.Random(0))
    engine.crashed = True
    return engine


def _no_service(name: str) -> FakeService:
    service = FakeService(name, {}, rng=random.Random(0))
    service.crashed = True
    return service
