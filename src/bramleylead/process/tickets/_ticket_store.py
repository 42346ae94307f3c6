"""Tickets in the platform's store: one object per number, and a configuration snapshot."""

from __future__ import annotations

from typing import NamedTuple
from typing import final

import anyio
from pydantic import TypeAdapter
from pydantic import ValidationError
from result import Err
from result import Ok
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.platform import ObjectStore
from bramleylead.platform import StoredObject
from bramleylead.platform import StoreError
from bramleylead.platform import StoreErrorKind
from bramleylead.platform import WatchPage
from bramleylead.platform._store import ABSENT
from bramleylead.version import Config

PREFIX = "tickets/"
SNAPSHOT_KEY = "ticket-snapshot"
MARKER_PREFIX = "ticket-watchers/"
NUMBER_DIGITS = 10
READ_TIMEOUT_S = 1.0
CREATE_ATTEMPTS = 5
CREATE_PAUSE_S = 0.2

_config_adapter = TypeAdapter(Config)


class Created(NamedTuple):
    """Result of creating a ticket.

    :param winner: the body stored under the number: the submitted one, or another ticket's.
    :param repeated: whether the object existed before.
    """

    winner: bytes
    repeated: bool


def ticket_key(number: int) -> str:
    """Return the key of a ticket; keys sort in number order."""
    return f"{PREFIX}{number:0{NUMBER_DIGITS}d}"


def number_of(key: str) -> int | None:
    """Return the number in a ticket's key; ``None`` for another key."""
    digits = key.removeprefix(PREFIX)
    if not key.startswith(PREFIX) or len(digits) != NUMBER_DIGITS or not digits.isdigit():
        return None
    return int(digits)


def dump_config(config: Config) -> bytes:
    """Return a configuration as JSON."""
    return _config_adapter.dump_json(config)


def load_config(data: bytes) -> Config | None:
    """Return the configuration encoded as JSON; ``None`` if the JSON is not a valid one."""
    try:
        return _config_adapter.validate_json(data)
    except ValidationError:
        return None


@final
class TicketStore:
    """Reads and writes the ticket objects and the snapshot."""

    def __init__(self, store: ObjectStore, *, node: str) -> None:
        self._store = store
        self._node = node

    async def create(self, number: int, body: bytes) -> Result[Created, Failure]:
        """Create a ticket's object unless it exists, and return the body stored under the number.

        After a lost reply the put is safely retried, since only one put can create the object.
        """
        unknown = False
        for _ in range(CREATE_ATTEMPTS):
            put = await self._store.put(ticket_key(number), body, expected=ABSENT)
            if isinstance(put, Ok):
                return Ok(Created(body, repeated=False))
            kind = put.err_value.kind
            if kind is StoreErrorKind.TOO_LARGE:
                return Err(Failure(ErrorKind.TOO_LARGE, put.err_value.detail))
            unknown = unknown or kind is StoreErrorKind.UNKNOWN
            found = await self._store.get(ticket_key(number))
            if isinstance(found, Ok):
                repeated = not (unknown and found.ok_value.value == body)
                return Ok(Created(found.ok_value.value, repeated=repeated))
            if kind is StoreErrorKind.UNAVAILABLE and not unknown:
                return Err(Failure(ErrorKind.STORE_UNAVAILABLE, put.err_value.detail))
            await anyio.sleep(CREATE_PAUSE_S)
        detail = f"ticket {number}: the store did not confirm its creation; submit it again"
        return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, detail))

    async def read(self, number: int) -> Result[StoredObject | None, StoreError]:
        """Read one ticket's object; ``Ok(None)`` when there is none."""
        found = await self._store.get(ticket_key(number), timeout_s=READ_TIMEOUT_S)
        if isinstance(found, Err) and found.err_value.kind is StoreErrorKind.NOT_FOUND:
            return Ok(None)
        return found

    async def read_after(self, number: int) -> Result[list[StoredObject], StoreError]:
        """Read a page of the tickets after a number."""
        found = await self._store.list(PREFIX, after=ticket_key(number))
        if isinstance(found, Err):
            return found
        return Ok(list(found.ok_value))

    async def watch(
        self, *, after_revision: int, timeout_s: float
    ) -> Result[WatchPage, StoreError]:
        """Wait until tickets have changed, at most ``timeout_s`` seconds."""
        return await self._store.watch(PREFIX, after_revision=after_revision, timeout_s=timeout_s)

    async def current_revision(self) -> int | None:
        """Write a marker object to get a revision that the store has certainly not compacted."""
        key = f"{MARKER_PREFIX}{self._node}"
        await self._store.put(key, b"")
        found = await self._store.get(key, timeout_s=READ_TIMEOUT_S)
        return found.ok_value.revision if isinstance(found, Ok) else None

    async def read_snapshot(self) -> Result[Config, StoreError]:
        """Read the configuration snapshot; return an empty configuration if there is none."""
        found = await self._store.get(SNAPSHOT_KEY, timeout_s=READ_TIMEOUT_S)
        if isinstance(found, Err):
            if found.err_value.kind is StoreErrorKind.NOT_FOUND:
                return Ok(Config())
            return found
        return Ok(load_config(found.ok_value.value) or Config())

    async def write_snapshot(self, config: Config) -> bool:
        """Write the snapshot unless one of the same or a higher number exists.

        :returns: whether it was written.
        """
        found = await self._store.get(SNAPSHOT_KEY, timeout_s=READ_TIMEOUT_S)
        version = ABSENT
        if isinstance(found, Ok):
            version = found.ok_value.version
            known = load_config(found.ok_value.value)
            if known is not None and known.number >= config.number:
                return False
        elif found.err_value.kind is not StoreErrorKind.NOT_FOUND:
            return False
        put = await self._store.put(SNAPSHOT_KEY, dump_config(config), expected=version)
        return isinstance(put, Ok)
