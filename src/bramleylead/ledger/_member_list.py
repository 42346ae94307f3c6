"""The ledger's member list as an object in the platform's store."""

from __future__ import annotations

from typing import final

from result import Err
from result import Ok
from result import Result

from bramleylead.ledger._members import NO_VIEW
from bramleylead.ledger._members import LedgerView
from bramleylead.ledger._members import view_from_plain
from bramleylead.ledger._members import view_to_plain
from bramleylead.platform._objects import PlatformObject
from bramleylead.platform._objects import PlatformStore
from bramleylead.platform._store import StoreError
from bramleylead.platform._store import StoreErrorKind

MEMBER_LIST_KIND = "ledger"
MEMBER_LIST_NAME = "members"
MAX_EPOCH = 2**53
"""Far below what a message can carry, so that later epochs can be sent too."""


@final
class StoredMemberList:
    """The stored member list, changed by compare-and-set only."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store

    async def read(self) -> Result[LedgerView, str]:
        """Return the stored view; the empty view if none is stored yet."""
        found = await self._read_object()
        if isinstance(found, Err):
            error = found.err_value
            absent = error.kind is StoreErrorKind.NOT_FOUND
            return Ok(NO_VIEW) if absent else Err(error.detail)
        return _parse_view(found.ok_value)

    async def change(self, before: LedgerView, after: LedgerView) -> Result[None, str]:
        """Replace a view by the next one, if it is still the stored one."""
        if before == NO_VIEW:
            written = await self._store.create(
                MEMBER_LIST_KIND, MEMBER_LIST_NAME, view_to_plain(after)
            )
        else:
            written = await self._replace(before, after)
        if isinstance(written, Ok):
            return Ok(None)
        # The write may have taken effect although its reply was lost, so the list is read back.
        current = await self.read()
        if isinstance(current, Ok) and current.ok_value == after:
            return Ok(None)
        return Err(written.err_value.detail)

    async def _replace(
        self, before: LedgerView, after: LedgerView
    ) -> Result[PlatformObject, StoreError]:
        found = await self._read_object()
        if isinstance(found, Err):
            return found
        if _parse_view(found.ok_value) != Ok(before):
            detail = f"the member list is no longer at epoch {before.epoch}"
            return Err(StoreError(StoreErrorKind.CONFLICT, detail))
        plain = view_to_plain(after)
        return await self._store.replace(
            MEMBER_LIST_KIND, MEMBER_LIST_NAME, plain, revision=found.ok_value.revision
        )

    async def _read_object(self) -> Result[PlatformObject, StoreError]:
        return await self._store.get(MEMBER_LIST_KIND, MEMBER_LIST_NAME)


def _parse_view(found: PlatformObject) -> Result[LedgerView, str]:
    try:
        view = view_from_plain(found.value)
    except ValueError as error:
        return Err(str(error))
    if type(found.value["epoch"]) is not int or not 1 <= view.epoch <= MAX_EPOCH:
        return Err(f"the epoch must be an integer from 1 to {MAX_EPOCH}")
    if not view.members or len({member.node for member in view.members}) != len(view.members):
        return Err("there must be members, each of them once")
    return Ok(view)
