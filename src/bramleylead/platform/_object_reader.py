"""Reads the store's answers: a list, the changes of a watch, or one object.

Objects have writers other than this system. One that can't be read has no value, and one whose name
can't be read is left out; the others of the answer hold.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple
from typing import TypeVar
from typing import final

import structlog

from bramleylead.json_input import MAX_INTEGER
from bramleylead.json_input import find_excess
from bramleylead.platform._json_parts import OBJECT_LEVELS
from bramleylead.platform._json_parts import RefusedValues
from bramleylead.platform._json_parts import RepeatedKeys
from bramleylead.platform._json_parts import UndecodedPart
from bramleylead.platform._json_parts import decode_parts
from bramleylead.platform._object_types import ChangePage
from bramleylead.platform._object_types import ObjectChange
from bramleylead.platform._object_types import ObjectPage
from bramleylead.platform._object_types import PlatformObject

LIST_LEVELS = OBJECT_LEVELS + 2
CHANGES_LEVELS = OBJECT_LEVELS + 3
MAX_NAME_CHARS = 1_000
MAX_SHOWN_CHARS = 60
MAX_REPORTED = 1_000
MAX_LINES_PER_ANSWER = 20
NO_REVISION = 0

log = structlog.get_logger()

_Item = TypeVar("_Item")


class _Defect(NamedTuple):
    """An object, or the part of it, that can't be read."""

    name: str
    revision: int
    reason: str


@final
class ObjectReader:
    """Reads answers, and logs each object that can't be read once a change."""

    def __init__(self) -> None:
        self._reported: dict[tuple[str, str], _Defect] = {}
        self._refused = RefusedValues()

    def read_page(self, kind: str, body: bytes) -> ObjectPage:
        """Read a list.

        :raises KeyError, TypeError, ValueError: if it is no list.
        """
        plain = decode_parts(body, self._refused, levels=LIST_LEVELS)
        as_of = _whole_number(plain["as-of"])
        objects = self._read_all(kind, plain["items"], _read_object)
        return ObjectPage(objects, bool(_decoded(plain["has-more"])), as_of)

    def read_changes(self, kind: str, body: bytes) -> ChangePage:
        """Read the changes that a watch returns.

        :raises KeyError, TypeError, ValueError: if they are none.
        """
        plain = decode_parts(body, self._refused, levels=CHANGES_LEVELS)
        as_of = _whole_number(plain["as-of"])
        return ChangePage(self._read_all(kind, plain["events"], _read_change), as_of)

    def read_object(self, kind: str, body: bytes) -> PlatformObject:
        """Read one object.

        :raises ValueError: if its name can't be read.
        """
        plain = decode_parts(body, self._refused, levels=OBJECT_LEVELS)
        defects: list[_Defect] = []
        found = _read_object(plain, defects)
        self._report(kind, defects)
        if found is None:
            raise ValueError(f"object of kind {kind}: {defects[0].reason}")
        return found

    def _read_all(
        self,
        kind: str,
        items: Any,
        read: Callable[[Any, list[_Defect]], _Item | None],
    ) -> tuple[_Item, ...]:
        if not isinstance(items, list):
            raise TypeError(f"no list, but {type(items).__name__}")
        defects: list[_Defect] = []
        objects = [read(item, defects) for item in items]
        self._report(kind, defects)
        return tuple(found for found in objects if found is not None)

    def _report(self, kind: str, defects: Iterable[_Defect]) -> None:
        lines = 0
        for defect in defects:
            key = (kind, defect.name or defect.reason)
            if self._reported.get(key) == defect or lines >= MAX_LINES_PER_ANSWER:
                continue
            if len(self._reported) >= MAX_REPORTED:
                del self._reported[next(iter(self._reported))]
            self._reported[key] = defect
            lines += 1
            shown = defect.name[:MAX_SHOWN_CHARS]
            log.warning(
                "object_unreadable",
                kind=kind,
                object=shown,
                revision=defect.revision,
                reason=defect.reason,
            )


def _read_change(event: Any, defects: list[_Defect]) -> ObjectChange | None:
    """Return a change; one without a readable ``removed`` is a change of the object."""
    plain = event if isinstance(event, dict) else {}
    found = _read_object(plain.get("object"), defects)
    return None if found is None else ObjectChange(found, plain.get("removed") is True)


def _read_object(item: Any, defects: list[_Defect]) -> PlatformObject | None:
    """Return an object as far as it can be read; ``None`` if its name can't be."""
    metadata = item.get("metadata") if isinstance(item, dict) else None
    if not isinstance(metadata, dict) or isinstance(metadata, RepeatedKeys):
        defects.append(_Defect("", NO_REVISION, "no metadata, or with a key twice"))
        return None
    name, revision = metadata.get("name"), metadata.get("revision")
    is_known = _is_revision(revision)
    known_revision = revision if is_known else NO_REVISION
    if not _is_name(name) or isinstance(item, RepeatedKeys):
        defects.append(_Defect("", known_revision, "no name, or with a key twice"))
        return None
    value, status = item.get("specification"), item.get("status")
    excess = find_excess(value) if is_known else "no revision of the store"
    if excess:
        defects.append(_Defect(name, known_revision, f"specification: {excess}"))
        value = None
    excess = find_excess(status)
    if excess:
        defects.append(_Defect(name, known_revision, f"status: {excess}"))
        status = None
    return PlatformObject(name, value, status, known_revision, bool(metadata.get("deleting")))


def _is_name(name: Any) -> bool:
    return isinstance(name, str) and 0 < len(name) <= MAX_NAME_CHARS and not find_excess(name)


def _is_revision(value: Any) -> bool:
    return type(value) is int and 0 <= value <= MAX_INTEGER


def _decoded(value: Any) -> Any:
    if isinstance(value, UndecodedPart):
        raise ValueError(value.reason)
    return value


def _whole_number(value: Any) -> int:
    """Return a revision.

    :raises ValueError: if it is none.
    """
    if not _is_revision(value):
        raise ValueError(f"no revision: {str(value)[:MAX_SHOWN_CHARS]}")
    return value
