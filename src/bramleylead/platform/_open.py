"""Opens the object store named in the settings; each kind is registered by a decorator."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING

from aioprometheus import Registry

from bramleylead.platform._folder import open_folder
from bramleylead.platform._http_client import HttpStore
from bramleylead.platform._limited import LimitedStore
from bramleylead.platform._memory import MemoryStore
from bramleylead.platform._store import ObjectStore

if TYPE_CHECKING:
    from bramleylead.node_settings import StoreSettings

Opener = Callable[["StoreSettings"], AbstractAsyncContextManager[ObjectStore]]

_openers: dict[str, Opener] = {}


def store_kind(name: str) -> Callable[[Opener], Opener]:
    """Register the function that opens one kind of store.

    :raises ValueError: if the kind is registered already.
    """

    def register(opener: Opener) -> Opener:
        if name in _openers:
            raise ValueError(f"store kind {name} is registered already")
        _openers[name] = opener
        return opener

    return register


@asynccontextmanager
async def open_store(
    settings: StoreSettings, *, registry: Registry | None = None
) -> AsyncIterator[LimitedStore]:
    """Open the configured store behind its rate limit.

    :raises ValueError: if the kind is unknown or its location can't be used.
    """
    opener = _openers.get(settings.kind)
    if opener is None:
        raise ValueError(f"store.kind: {settings.kind}: must be one of {sorted(_openers)}")
    async with opener(settings) as store:
        yield LimitedStore(store, calls_per_s=settings.calls_per_s, registry=registry)


@store_kind("memory")
@asynccontextmanager
async def _open_memory(settings: StoreSettings) -> AsyncIterator[ObjectStore]:
    yield MemoryStore()


@store_kind("folder")
@asynccontextmanager
async def _open_folder(settings: StoreSettings) -> AsyncIterator[ObjectStore]:
    if not settings.location:
        raise ValueError("store.location: must name a folder for kind folder")
    async with open_folder(Path(settings.location)) as store:
        yield store


@store_kind("http")
@asynccontextmanager
async def _open_http(settings: StoreSettings) -> AsyncIterator[ObjectStore]:
    if not settings.location.startswith("http://"):
        raise ValueError(f"store.location: {settings.location!r}: must be http://ip:port")
    async with HttpStore(settings.location) as store:
        yield store
