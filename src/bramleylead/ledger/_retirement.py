"""Empties a ledger node that the operator wants to take away."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import final

import anyio
import structlog

from bramleylead.ledger._membership import Membership
from bramleylead.platform import _names as names
from bramleylead.platform._objects import ObjectChange
from bramleylead.platform._objects import PlatformObject
from bramleylead.platform._objects import PlatformStore

RETIRE_RETRY_S = 0.3

log = structlog.get_logger()


@final
class RetirementFollower:
    """Detects the operator's request to retire this VM."""

    kind = names.RETIREMENT_KIND

    def __init__(self, node: str) -> None:
        self._node = node
        self.requested = anyio.Event()

    def replace_all(self, objects: Sequence[PlatformObject], *, as_of: int) -> None:
        """Check a complete list of requests."""
        for found in objects:
            self._check_request(found)

    def apply_changes(self, changes: Sequence[ObjectChange], *, as_of: int) -> None:
        """Check changed requests."""
        for change in changes:
            if not change.removed:
                self._check_request(change.object)

    def note_failure(self) -> None:
        """Do nothing: a request that was read remains in force, and the failure is logged."""

    def _check_request(self, found: PlatformObject) -> None:
        if found.name == self._node and not self.requested.is_set():
            log.info("retirement_wanted", node=self._node, revision=found.revision)
            self.requested.set()


async def run_membership(
    membership: Membership, retirement: RetirementFollower, store: PlatformStore, node: str
) -> None:
    """Maintain the membership; leave the ledger once the operator requests the retirement."""

    async def report_completed() -> bool:
        status = {"state": names.STATE_COMPLETED}
        return (await store.set_status(names.RETIREMENT_KIND, node, status)).is_ok()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(membership.run)
        await retirement.requested.wait()
        await store.set_status(names.RETIREMENT_KIND, node, {"state": names.STATE_RUNNING})
        await _retry_until_done(membership.leave)
        await _retry_until_done(report_completed)
        log.info("retirement_completed", node=node)


async def _retry_until_done(action: Callable[[], Awaitable[bool]]) -> None:
    """Repeat an action until it returns true."""
    while True:
        if await action():
            return
        await anyio.sleep(RETIRE_RETRY_S)
