"""The partition object in the store, which changes only by compare-and-set."""

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
from bramleylead.validation import Strict

PREFIX = "partitions/"
TOKEN_BYTES = 12
RESOLVE_ATTEMPTS = 5
RESOLVE_INTERVAL_S = 0.1
NOT_CLEAN = -1
LIST_PAGE_SIZE = 500


class Holder(Strict):
    """One node in the role of owner or second copy.

    :param boot: identity of the process, which tells a restarted node from its former process.
    """

    node: str
    address: str
    boot: str = ""


class PartitionRecord(Strict):
    """The partition object.

    :param second: the second copy; ``None`` while the owner has no node for it.
    :param epoch: incremented by every change; the fencing token of the owner's orders.
    :param incarnation: incremented by a recovery that may have lost entries.
    :param clean_sequence: last sequence number of a closed and fully flushed journal; negative
        while the journal is open.
    :param token: unique per write, so that a writer recognises its own write after a lost reply.
    """

    owner: Holder
    second: Holder | None = None
    epoch: Annotated[int, Field(ge=1)]
    incarnation: Annotated[int, Field(ge=1)] = 1
    clean_sequence: int = NOT_CLEAN
    token: str = ""


class StoredRecord(NamedTuple):
    """A partition record and its version in the store."""

    record: PartitionRecord
    version: int


def record_key(number: int) -> str:
    """Return the store key of a partition object."""
    return f"{PREFIX}{number:05d}"


def with_next_epoch(record: PartitionRecord, **changes: Any) -> PartitionRecord:
    """Return a copy with the given changes, the next epoch and a new token."""
    update = {"epoch": record.epoch + 1, "token": fresh_token()} | changes
    return record.model_copy(update=update)


def fresh_token() -> str:
    """Return a unique token for one write."""
    return secrets.token_hex(TOKEN_BYTES)


async def read_record(
    store: ObjectStore, number: int, *, timeout_s: float = 2.0
) -> Result[StoredRecord | None, StoreError]:
    """Read a partition object; ``Ok(None)`` if it does not exist."""
    read = await store.get(record_key(number), timeout_s=timeout_s)
    if isinstance(read, Ok):
        return _parse(read.ok_value)
    if read.err_value.kind is StoreErrorKind.NOT_FOUND:
        return Ok(None)
    return read


async def list_records(store: ObjectStore) -> Result[dict[int, StoredRecord], StoreError]:
    """Read all partition objects, one store call per page."""
    found: dict[int, StoredRecord] = {}
    after = ""
    while True:
        page = await store.list(PREFIX, after=after, limit=LIST_PAGE_SIZE)
        if isinstance(page, Err):
            return page
        for item in page.ok_value:
            parsed = _parse(item)
            if isinstance(parsed, Err):
                return parsed
            found[int(item.key.removeprefix(PREFIX))] = parsed.ok_value
        if len(page.ok_value) < LIST_PAGE_SIZE:
            return Ok(found)
        after = page.ok_value[-1].key


async def swap_record(
    store: ObjectStore, number: int, record: PartitionRecord, *, expected: int = ABSENT
) -> Result[StoredRecord, StoreError]:
    """Write a partition object if its version is ``expected``.

    After a lost reply the object is read; its token shows whether this write took effect. An
    ``Err`` of kind ``UNKNOWN`` means that the outcome is still unknown; any other kind means that
    the write had no effect.
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
    """Read the object to determine whether a write with a lost reply took effect.

    If the object is unchanged, the write may still be in flight. A second write of the same value
    under the same condition then decides the outcome.
    """
    value = written.model_dump_json().encode()
    for _ in range(RESOLVE_ATTEMPTS):
        await anyio.sleep(RESOLVE_INTERVAL_S)
        read = await read_record(store, number)
        if isinstance(read, Err):
            continue
        found = read.ok_value
        if found is not None and found.record.token == written.token:
            return Ok(found)
        version = ABSENT if found is None else found.version
        if version > expected + 1:
            # This write may have succeeded and been overwritten by another writer since.
            break
        if version != expected:
            detail = f"{record_key(number)}: changed by another writer"
            return Err(StoreError(StoreErrorKind.CONFLICT, detail))
        retried = await store.put(record_key(number), value, expected=expected)
        if isinstance(retried, Ok):
            return Ok(StoredRecord(written, retried.ok_value))
    detail = f"{record_key(number)}: the outcome of a write is still unknown"
    return Err(StoreError(StoreErrorKind.UNKNOWN, detail))


def _parse(item: StoredObject) -> Result[StoredRecord, StoreError]:
    try:
        record = PartitionRecord.model_validate_json(item.value)
    except ValidationError as error:
        reason = error.errors()[0]["msg"]
        return Err(
            StoreError(StoreErrorKind.UNAVAILABLE, f"{item.key}: malformed record: {reason}")
        )
    return Ok(StoredRecord(record, item.version))
