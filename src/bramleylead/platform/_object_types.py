"""Objects of the platform's store, as a list or a watch returns them."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple


class PlatformObject(NamedTuple):
    """One object of a kind.

    :param value: the value set by its writer; ``None`` if it can't be read.
    :param status: the status reported by the system; ``None`` if it can't be read.
    :param revision: the store's revision of its last change; 0 if it can't be read.
    :param deleting: whether it is removed once its finalizers are.
    """

    name: str
    value: Any
    status: Any
    revision: int
    deleting: bool


class ObjectPage(NamedTuple):
    """Objects of a kind as of a revision of the store; ``more`` is set if others follow."""

    objects: tuple[PlatformObject, ...]
    more: bool
    as_of: int


class ObjectChange(NamedTuple):
    """One change reported by a watch."""

    object: PlatformObject
    removed: bool


class ChangePage(NamedTuple):
    """The changes returned by a watch, and the revision to continue from."""

    changes: tuple[ObjectChange, ...]
    as_of: int
