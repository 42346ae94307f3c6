"""The partition object in the store, and the compare-and-set that alone changes it."""

from __future__ import annotations

import secrets
from typing import Annotated
from typing import Any
from typing import NamedTuple

import anyio
from pydantic import Field
from pydantic import ValidationError
from result import Err
from result import Ok
from result import Result

from bramleylead.platform._store import ABSENT
from bramleylead.platform._store import ObjectStore
from bramleylead.platform._store import StoredObject
from bramleylead.platform._store import StoreError
from bramleylead.platform._store import StoreErrorKind
from bramleylead.version._schema import Strict

PREFIX = "partitions/"
TOKEN_BYTES = 12
RESOLVE_ATTEMPTS = 5
RESOLVE_PAUSE_S = 0.1
NOT_CLEAN = -1
LIST_PAGE = 500


class Holder(Strict):
    """One node in the role of owner or second copy.

    :param boot: identity of the process, so that a restarted node is not taken for the old one.
    """

    node: str
    address: str
    boot: str = ""


class PartitionRecord(Strict):
    """The partition object.

    :param second: the second copy; ``None`` while the owner has found no node for it.
    :param epoch: raised by every change; the fencing number of the owner's orders.
    :param incarnation: raised by a recovery that may have lost entries.
    :param clean_sequence: last sequence of a journal closed and flushed whole; negative while open.
    :param token: fresh with each write, so that a writer recognises its own after a lost reply.
    """

    owner: Holder
    second: Holder | None = None
    epoch: Annotated[int, Field(ge=1)]
    incarnation: Annotated[int, Field(ge=1)] = 1
    clean_sequence: int = NOT_CLEAN
    token: str = ""


class StoredRecord(NamedTuple):
    """A partition record and the version at which the store holds it."""

    record: PartitionRecord
    version: int


def record_key(number: int) -> str:
    """Return the key of a partition's object."""
    return f"{PREFIX}{number:05d}"


def renewed(record: PartitionRecord, **changes: Any) -> PartitionRecord:
    """Return a record to write: changed, one epoch higher, with a fresh token."""
    update = {"epoch": record.epoch + 1, "token": fresh_token()} | changes
    return record.model_copy(update=update)


def fresh_token() -> str:
    """Return a token that no other write carries."""
    return secrets.token_hex(TOKEN_BYTES)


async def read_record(
    store: ObjectStore, number: int, *, timeout_s: float = 2.0
) -> Result[StoredRecord | None, StoreError]:
    """Read a partition's object; ``Ok(None)`` when it does not exist."""
    read = await store.get(record_key(number), timeout_s=timeout_s)
    if isinstance(read, Ok):
        return _parse(read.ok_value)
    if read.err_value.kind is StoreErrorKind.NOT_FOUND:
        return Ok(None)
    return read


async def list_records(store: ObjectStore) -> Result[dict[int, StoredRecord], StoreError]:
    """Read every partition's object with one call a page."""
    found: dict[int, StoredRecord] = {}
    after = ""
    while True:
        page = await store.list(PREFIX, after=after, limit=LIST_PAGE)
        if isinstance(page, Err):
            return page
        for item in page.ok_value:
            parsed = _parse(item)
            if isinstance(parsed, Err):
                return parsed
            found[int(item.key.removeprefix(PREFIX))] = parsed.ok_value
        if len(page.ok_value) < LIST_PAGE:
            return Ok(found)
        after = page.ok_value[-1].key


async def swap_record(
    store: ObjectStore, number: int, record: PartitionRecord, *, expected: int = ABSENT
) -> Result[StoredRecord, StoreError]:
    """Write a partition's object, with a fresh token, if its version is ``expected``.

    A lost reply is resolved by reading: the token tells whether this write took effect. An
    ``Err`` of kind ``UNKNOWN`` means that it could not be resolved yet, every other kind that the
    write certainly had no effect.
    """
    value = record.model_dump_json().encode()
    written = await store.put(record_key(number), value, expected=expected)
    if isinstance(written, Ok):
        return Ok(StoredRecord(record, written.ok_value))
    if written.err_value.kind is not StoreErrorKind.UNKNOWN:
        return written
    return await _resolve_swap(store, number, record, expected=expected)


async def _resolve_swap(
    store: ObjectStore, number: int, written: PartitionRecord, *, expected: int
) -> Result[StoredRecord, StoreError]:
    """Find out by reading whether a write with a lost reply took effect.

    An unchanged object proves nothing, since the write may still be under way: a second write of
    the same value under the same condition settles it either way.
    """
    value = written.model_dump_json().encode()
    for _ in range(RESOLVE_ATTEMPTS):
        await anyio.sleep(RESOLVE_PAUSE_S)
        read = await read_record(store, number)
        if isinstance(read, Err):
            continue
        found = read.ok_value
        if found is not None and found.record.token == written.token:
            return Ok(found)
        version = ABSENT if found is None else found.version
        if version > expected + 1:
            # This write may have been the one in between, with another's write after it.
            break
        if version != expected:
            detail = f"{record_key(number)}: another writer changed it"
            return Err(StoreError(StoreErrorKind.CONFLICT, detail))
        again = await store.put(record_key(number), value, expected=expected)
        if isinstance(again, Ok):
            return Ok(StoredRecord(written, again.ok_value))
    detail = f"{record_key(number)}: the outcome of a write is not known yet"
    return Err(StoreError(StoreErrorKind.UNKNOWN, detail))


def _parse(item: StoredObject) -> Result[StoredRecord, StoreError]:
    try:
        record = PartitionRecord.model_validate_json(item.value)
    except ValidationError as error:
        reason = error.errors()[0]["msg"]
        return Err(StoreError(StoreErrorKind.UNAVAILABLE, f"{item.key}: malformed: {reason}"))
    return Ok(StoredRecord(record, item.version))
