"""The platform's object API, behind one typed interface.

Implementations are imported when they are first used, since each role needs at most one.
"""

from __future__ import annotations

from importlib import import_module
from typing import TYPE_CHECKING
from typing import Any

from bramleylead.platform._store import Change
from bramleylead.platform._store import ObjectStore
from bramleylead.platform._store import StoredObject
from bramleylead.platform._store import StoreError
from bramleylead.platform._store import StoreErrorKind
from bramleylead.platform._store import VmEntry
from bramleylead.platform._store import WatchPage

if TYPE_CHECKING:
    from bramleylead.platform._folder import FolderStore
    from bramleylead.platform._folder import open_folder
    from bramleylead.platform._http_client import HttpStore
    from bramleylead.platform._limited import LimitedStore
    from bramleylead.platform._memory import MemoryStore
    from bramleylead.platform._open import open_store
    from bramleylead.platform._open import store_kind
    from bramleylead.platform._resolved import Stamped
    from bramleylead.platform._resolved import write_resolved

__all__ = [
    "Change",
    "FolderStore",
    "HttpStore",
    "LimitedStore",
    "MemoryStore",
    "ObjectStore",
    "Stamped",
    "StoreError",
    "StoreErrorKind",
    "StoredObject",
    "VmEntry",
    "WatchPage",
    "open_folder",
    "open_store",
    "store_kind",
    "write_resolved",
]

_MODULES = {
    "FolderStore": "_folder",
    "HttpStore": "_http_client",
    "LimitedStore": "_limited",
    "MemoryStore": "_memory",
    "Stamped": "_resolved",
    "open_folder": "_folder",
    "open_store": "_open",
    "store_kind": "_open",
    "write_resolved": "_resolved",
}


def __getattr__(name: str) -> Any:
    """Import the module of an implementation on first use.

    :raises AttributeError: for an unknown name.
    """
    if name not in _MODULES:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f"{__name__}.{_MODULES[name]}"), name)
