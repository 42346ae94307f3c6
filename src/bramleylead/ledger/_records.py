"""What a ledger holds: kept turns, and what the turns of each program have spent.

Records are only added, and two copies that hold the same records hold the same state, in whatever
order these came. A settled spending replaces the reserved one of the same turn.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple
from typing import final

from bramleylead.connection import message

KEEP_MARGIN_S = 30.0
"""Records are held for longer than callers were promised, since clocks and restarts differ."""
LEAST_KEEP_S = 60.0


@message(160)
class KeptTurn(NamedTuple):
    """A turn that was answered whole.

    :param previous: the turn that it continues; empty at the start of a chain.
    :param entry: its entry among what the program's turns spend.
    :param tokens: what it generated, for the program's budget.
    :param keep_s: how long it must be found.
    :param given: the caller's new input.
    :param made: the data of each event, each followed by a line feed.
    """

    turn: str
    previous: str
    program: str
    entry: str
    tokens: int
    keep_s: float
    given: bytes
    made: bytes


@message(161)
class Spending(NamedTuple):
    """What one turn of a program may spend at the most, or, once settled, has spent.

    :param entry: made anew for each attempt, so that no caller can spend twice under one id.
    """

    program: str
    entry: str
    tokens: int
    settled: bool


Record = KeptTurn | Spending
Key = str


def key_of(record: Record) -> Key:
    """Return the key under which a record is known; equal keys mean equal records."""
    if isinstance(record, KeptTurn):
        return f"turn/{record.turn}"
    state = "settled" if record.settled else "reserved"
    return f"{state}/{record.program}/{record.entry}"


@final
class LedgerState:
    """The records of one node, in the order in which it took them in."""

    def __init__(self) -> None:
        self._records: dict[Key, Record] = {}
        self._numbers: dict[int, Key] = {}
        self._spent: dict[str, dict[str, Spending]] = {}
        self._touched: dict[Key, float] = {}
        self._programs_touched: dict[str, float] = {}
        self._keep_s = LEAST_KEEP_S
        self.last_number = 0

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: Key) -> Record | None:
        """Return a record by its key."""
        return self._records.get(key)

    def add(self, record: Record, *, now: float) -> bool:
        """Take in a record; returns whether it is new."""
        key = key_of(record)
        self._touch(record, now)
        if key in self._records:
            return False
        self._records[key] = record
        self.last_number += 1
        self._numbers[self.last_number] = key
        if isinstance(record, KeptTurn):
            self._keep_s = max(self._keep_s, record.keep_s)
            if record.entry:
                self._spend(Spending(record.program, record.entry, record.tokens, True))
        else:
            self._spend(record)
        return True

    def spendings(self, program: str) -> list[Spending]:
        """Return the spending of each turn of a program."""
        return list(self._spent.get(program, {}).values())

    def chain(self, turn: str) -> list[KeptTurn]:
        """Return a turn and those before it, newest first, as far as they are held."""
        found = []
        record = self._records.get(f"turn/{turn}")
        while isinstance(record, KeptTurn):
            found.append(record)
            record = self._records.get(f"turn/{record.previous}") if record.previous else None
        return found

    def keys_after(self, number: int, *, limit: int) -> tuple[int, list[Key]]:
        """Return the keys taken in after a number, oldest first, and the number of the last."""
        keys = []
        for at in range(number + 1, self.last_number + 1):
            key = self._numbers.get(at)
            number = at
            if key is not None:
                keys.append(key)
            if len(keys) >= limit:
                break
        return number, keys

    def expire(self, now: float) -> int:
        """Drop what no caller may ask for any more; returns how many records went."""
        limit = now - self._keep_s - KEEP_MARGIN_S
        old = [key for key, touched in self._touched.items() if touched < limit]
        for key in old:
            self._drop(key)
        for program in [name for name, at in self._programs_touched.items() if at < limit]:
            del self._programs_touched[program]
            self._spent.pop(program, None)
        if old:
            gone = set(old)
            self._numbers = {at: key for at, key in self._numbers.items() if key not in gone}
        return len(old)

    def __iter__(self) -> Iterator[Record]:
        return iter(self._records.values())

    def _touch(self, record: Record, now: float) -> None:
        """Note that a record, and what it stands on, is in use."""
        self._touched[key_of(record)] = now
        if record.program:
            self._programs_touched[record.program] = now
        if isinstance(record, KeptTurn):
            for before in self.chain(record.previous) if record.previous else ():
                self._touched[key_of(before)] = now
        else:
            for spending in self.spendings(record.program):
                self._touched_spending(spending, now)

    def _touched_spending(self, spending: Spending, now: float) -> None:
        for settled in (False, True):
            key = key_of(spending._replace(settled=settled))
            if key in self._touched:
                self._touched[key] = now

    def _spend(self, spending: Spending) -> None:
        turns = self._spent.setdefault(spending.program, {})
        known = turns.get(spending.entry)
        if known is None or (spending.settled and not known.settled):
            turns[spending.entry] = spending

    def _drop(self, key: Key) -> None:
        self._records.pop(key, None)
        self._touched.pop(key, None)


def union(copies: Iterable[Iterable[Spending]]) -> dict[str, Spending]:
    """Return the spending of each turn that any of several copies knows; settled goes first."""
    found: dict[str, Spending] = {}
    for copy in copies:
        for spending in copy:
            known = found.get(spending.entry)
            if known is None or (spending.settled and not known.settled):
                found[spending.entry] = spending
    return found
