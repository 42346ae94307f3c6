"""The platform's object API, behind one typed interface."""

from __future__ import annotations

from bramleylead.platform._folder import FolderStore
from bramleylead.platform._folder import open_folder
from bramleylead.platform._http_client import HttpStore
from bramleylead.platform._limited import LimitedStore
from bramleylead.platform._memory import MemoryStore
from bramleylead.platform._open import open_store
from bramleylead.platform._open import store_kind
from bramleylead.platform._resolved import Stamped
from bramleylead.platform._resolved import write_resolved
from bramleylead.platform._store import Change
from bramleylead.platform._store import ObjectStore
from bramleylead.platform._store import StoredObject
from bramleylead.platform._store import StoreError
from bramleylead.platform._store import StoreErrorKind
from bramleylead.platform._store import VmEntry
from bramleylead.platform._store import WatchPage

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
