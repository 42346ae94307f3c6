"""The reports of fake engines, for the product's reader of reports."""

from __future__ import annotations

from typing import final

from result import Ok
from result import Result

from bramleylead.backends import BackendError
from bramleylead.backends import CachePage
from bramleylead.backends import Engine
from bramleylead.backends import LoadReport
from bramleylead.standins import FakeEngine
from bramleylead.version import Endpoint


@final
class EngineReports:
    """The reports of the fake engines, as the product's reader asks for them."""

    def __init__(self, engine: FakeEngine) -> None:
        self._engine = engine

    async def load(self) -> Result[LoadReport, BackendError]:
        """Return the load."""
        return Ok(self._engine.load())

    async def cache_events(self, *, after: int) -> Result[CachePage, BackendError]:
        """Return the cache events after a number."""
        return Ok(self._engine.cache_events(after))

    async def cache_contents(self) -> Result[CachePage, BackendError]:
        """Return all that the cache holds."""
        return Ok(self._engine.cache.contents())


@final
class EngineBackends:
    """The back ends of the fake engines, by endpoint name."""

    def __init__(self, engines: dict[str, FakeEngine]) -> None:
        self._engines = engines

    def engine(self, name: str, endpoint: Endpoint) -> Engine:
        """Return the reports of an engine."""
        return EngineReports(self._engines[name])  # type: ignore[return-value]
