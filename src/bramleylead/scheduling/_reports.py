"""Polls a pool's engines for load reports and cache events, for the pool's dispatcher."""

from __future__ import annotations

from collections.abc import Mapping
from typing import final

import anyio
from result import Ok

from bramleylead.backends import BackendFactory
from bramleylead.backends import Engine
from bramleylead.scheduling._dispatcher import Dispatcher
from bramleylead.version import Endpoint
from bramleylead.version import EndpointKind

READ_INTERVAL_S = 1.0
READ_TIMEOUT_S = 1.0


@final
class ReportReader:
    """Reads each engine in its own task, so that a hanging engine doesn't delay the others."""

    def __init__(self, dispatcher: Dispatcher, backends: BackendFactory) -> None:
        self._dispatcher = dispatcher
        self._backends = backends
        self._endpoints: Mapping[str, Endpoint] = {}
        self._endpoints_changed = anyio.Event()

    def set_endpoints(self, endpoints: Mapping[str, Endpoint]) -> None:
        """Replace the pool's endpoints. If there are none, :meth:`run` returns."""
        self._endpoints = endpoints
        self._endpoints_changed.set()

    async def run(self) -> None:
        """Read reports until the pool has no endpoints."""
        running_readers: set[str] = set()
        async with anyio.create_task_group() as tasks:
            while True:
                await self._endpoints_changed.wait()
                self._endpoints_changed = anyio.Event()
                if not self._endpoints:
                    tasks.cancel_scope.cancel()
                    return
                for name, endpoint in self._endpoints.items():
                    if endpoint.kind is EndpointKind.ENGINE and name not in running_readers:
                        running_readers.add(name)
                        tasks.start_soon(self._read_engine, name, running_readers)

    async def _read_engine(self, name: str, running_readers: set[str]) -> None:
        while name in self._endpoints:
            engine = self._backends.engine(name, self._endpoints[name])
            with anyio.move_on_after(READ_TIMEOUT_S):
                await self._read_once(name, engine)
            await anyio.sleep(READ_INTERVAL_S)
        running_readers.discard(name)

    async def _read_once(self, name: str, engine: Engine) -> None:
        load = await engine.load()
        if isinstance(load, Ok):
            self._dispatcher.observe_load(name, load.ok_value)
        events = await engine.cache_events(after=self._dispatcher.cache_sequence(name))
        if not isinstance(events, Ok):
            return
        if self._dispatcher.observe_cache(name, events.ok_value):
            return
        contents = await engine.cache_contents()
        if isinstance(contents, Ok):
            self._dispatcher.observe_cache(name, contents.ok_value)
