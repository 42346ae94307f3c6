"""The platform's object API, behind one typed interface."""

from __future__ import annotations

from bramleylead.platform._memory import MemoryStore
from bramleylead.platform._store import Change
from bramleylead.platform._store import ObjectStore
from bramleylead.platform._store import StoredObject
from bramleylead.platform._store import StoreError
from bramleylead.platform._store import StoreErrorKind
from bramleylead.platform._store import VmEntry
from bramleylead.platform._store import WatchPage

__all__ = [
    "Change",
    "MemoryStore",
    "ObjectStore",
    "StoreError",
    "StoreErrorKind",
    "StoredObject",
    "VmEntry",
    "WatchPage",
]
