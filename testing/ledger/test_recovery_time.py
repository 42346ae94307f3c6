"""How long a ledger takes to replace members that are gone, or that have lost their disks.

``python -m testing.ledger.test_recovery_time`` prints the times.
"""

from __future__ import annotations

import unittest
from typing import NamedTuple

import anyio

from bramleylead.standins import run_virtual
from testing.ledger._fleet import Ledger
from testing.ledger._fleet import running_ledger
from testing.ledger._fleet import turn

NEVER_S = 30.0
SETTLED_S = 2.0
"""Longer than the interval at which members copy from each other."""
CHECK_INTERVAL_S = 0.02
MAX_REPLACEMENT_S = 13.0
"""A member counts as dead after 3 s, and one changes at a time: 11.5 s for two of nine members."""
MAX_REJOIN_S = 9.0
"""Nine members take 7.6 s for two that have lost their disks."""


class Recovery(NamedTuple):
    """Seconds until a turn is kept, the former entries are gone, and the ledger is complete."""

    kept_s: float
    removed_s: float
    complete_s: float


def measure(members: int, *, losses: int, gone: int, returns: bool, spares: int = 0) -> Recovery:
    """Kill some members at once.

    :param returns: whether they start again at once, with empty disks.
    """
    found: list[Recovery] = []

    async def main() -> None:
        async with running_ledger(members, losses=losses) as (ledger, tasks):
            ledger.target_size = members
            for i in range(members, members + spares):
                await ledger.start(i, tasks=tasks)
            async with ledger.gateway(0) as gateway:
                (await gateway.keep(turn("a"))).unwrap()
                await anyio.sleep(SETTLED_S)
                former = [ledger.disks[i].name for i in range(gone)]
                for i in range(gone):
                    ledger.kill(i)
                started = anyio.current_time()
                if returns:
                    for i in range(gone):
                        ledger.wipe(i)
                        await ledger.start(i, tasks=tasks)
                kept_s: list[float] = []

                async def keep() -> None:
                    while True:
                        if (await gateway.keep(turn("b", "a"))).is_ok():
                            kept_s.append(anyio.current_time() - started)
                            return
                        await anyio.sleep(CHECK_INTERVAL_S)

                tasks.start_soon(keep)
                removed_s = await _seconds_until_removed(ledger, former, started)
                complete_s = await _seconds_until_complete(ledger, former, members, started)
                found.append(Recovery(*kept_s or [NEVER_S], removed_s, complete_s))

    run_virtual(main, seed=1)
    return found[0]


async def _seconds_until_removed(ledger: Ledger, former: list[str], started: float) -> float:
    while anyio.current_time() - started < NEVER_S:
        if not any(member.disk in former for member in ledger.members.view.members):
            return anyio.current_time() - started
        await anyio.sleep(CHECK_INTERVAL_S)
    return NEVER_S


async def _seconds_until_complete(
    ledger: Ledger, former: list[str], count: int, started: float
) -> float:
    while anyio.current_time() - started < NEVER_S:
        listed = {member.disk for member in ledger.members.view.members}
        if len(listed.difference(former)) >= count:
            return anyio.current_time() - started
        await anyio.sleep(CHECK_INTERVAL_S)
    return NEVER_S


class RecoveryTimeTest(unittest.TestCase):
    # Guards against a removal that waits for members that are silent as well.
    def test_spares_replace_as_many_members_as_may_be_lost(self) -> None:
        for members, losses, gone in ((3, 1, 1), (5, 2, 1), (5, 2, 2), (9, 4, 1), (9, 4, 2)):
            with self.subTest(members=members, gone=gone):
                recovery = measure(members, losses=losses, gone=gone, returns=False, spares=gone)
                self.assertLess(max(recovery), MAX_REPLACEMENT_S)

    # Guards against a removal that waits for a member that is gone for good, although its entries
    # have been copied: a spare has joined, and two of the four members die at once.
    def test_two_of_four_members_are_replaced(self) -> None:
        recovery = measure(4, losses=1, gone=2, returns=False, spares=2)
        self.assertLess(max(recovery), MAX_REPLACEMENT_S)

    # Guards against a removal that waits for members that have lost their disks as well.
    def test_members_that_lost_their_disks_join_again(self) -> None:
        for members, losses, gone in ((3, 1, 1), (5, 2, 1), (5, 2, 2), (9, 4, 1), (9, 4, 2)):
            with self.subTest(members=members, gone=gone):
                recovery = measure(members, losses=losses, gone=gone, returns=True)
                self.assertLess(max(recovery), MAX_REJOIN_S)


def main() -> None:
    """Print the times of all cases; 30 s stands for never."""
    for returns in (False, True):
        for members, losses in ((2, 1), (3, 1), (4, 1), (4, 2), (5, 2), (6, 2), (9, 4)):
            for gone in (1, 2):
                for spares in (0, 1, 2)[: 1 if returns else 3]:
                    if gone < members:
                        recovery = measure(
                            members, losses=losses, gone=gone, returns=returns, spares=spares
                        )
                        case = f"members={members} {losses=} {gone=} {returns=} {spares=}"
                        print(case, *(f"{value:.2f}" for value in recovery))


if __name__ == "__main__":
    main()
