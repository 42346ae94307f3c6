"""The typed interface of the platform's object API and of its list of VMs.

An object's version is incremented by each change; an expected version of 0 means that the object
must not exist. Revisions count all changes of the whole store, so that a watch can continue where
the last one ended.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple
from typing import Protocol

from result import Result

MAX_VALUE_BYTES = 1_000_000
ANY_VERSION = -1
ABSENT = 0


class StoreErrorKind(StrEnum):
    """How a call to the object API can fail."""

    CONFLICT = "conflict"
    """The version condition did not hold. Nothing was changed."""
    NOT_FOUND = "not_found"
    UNAVAILABLE = "unavailable"
    """The call certainly had no effect."""
    UNKNOWN = "unknown"
    """No reply in time: a write may or may not have taken effect."""
    TOO_LARGE = "too_large"


class StoreError(NamedTuple):
    """A failed call: its kind, and the key and reason as text."""

    kind: StoreErrorKind
    detail: str


class StoredObject(NamedTuple):
    """One object: key, value, version (from 1) and the store's revision of its last change."""

    key: str
    value: bytes
    version: int
    revision: int


class Change(NamedTuple):
    """One change reported by a watch; ``value`` is ``None`` for a deletion."""

    key: str
    value: bytes | None
    version: int
    revision: int


class WatchPage(NamedTuple):
    """What a watch returned: changes in revision order, and the revision to continue after.

    If a key changed more than once, only the last change is certain to be included. A watch after
    revision 0 returns every object first, and its page contains the store's revision. An empty page
    means that the timeout passed without a change, so the caller's state was current.
    """

    revision: int
    changes: tuple[Change, ...]


class VmEntry(NamedTuple):
    """One entry of the platform's list of VMs, which may be out of date.

    :param node: the node's name.
    :param address: ``host:port`` of the node's peer listener.
    :param leaving: whether the platform is going to stop it.
    """

    node: str
    address: str
    region: str
    data_centre: str
    leaving: bool


class ObjectStore(Protocol):
    """Conditional reads and writes of small objects, each within ``timeout_s`` seconds."""

    async def get(self, key: str, *, timeout_s: float = 2.0) -> Result[StoredObject, StoreError]:
        """Read one object."""
        ...

    async def put(
        self, key: str, value: bytes, *, expected: int = ANY_VERSION, timeout_s: float = 2.0
    ) -> Result[int, StoreError]:
        """Write one object if its version is ``expected`` and return the new version."""
        ...

    async def delete(
        self, key: str, *, expected: int = ANY_VERSION, timeout_s: float = 2.0
    ) -> Result[None, StoreError]:
        """Delete one object if its version is ``expected``."""
        ...

    async def list(
        self, prefix: str, *, after: str = "", limit: int = 500, timeout_s: float = 2.0
    ) -> Result[Sequence[StoredObject], StoreError]:
        """Read up to ``limit`` objects under ``prefix`` after a key, in key order."""
        ...

    async def watch(
        self, prefix: str, *, after_revision: int, timeout_s: float
    ) -> Result[WatchPage, StoreError]:
        """Wait for changes under ``prefix`` after a revision, at most ``timeout_s`` seconds."""
        ...

    async def vms(self, *, timeout_s: float = 2.0) -> Result[Sequence[VmEntry], StoreError]:
        """Read the platform's list of live and leaving VMs."""
        ...
