"""The ledger's records: kept turns, and the token spending of each program's turns.

Records are only added. Nodes with the same records have the same state, in whatever order the
records arrived. A settled spending replaces the reserved one of the same turn.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple
from typing import final

from bramleylead.connection import message
from bramleylead.platform._types import NO_SOFTWARE
from bramleylead.platform._types import Software

RETENTION_MARGIN_S = 30.0
"""Added to the retention promised to callers, since clocks and restart times differ."""
MIN_RETENTION_S = 60.0


@message(160)
class KeptTurn(NamedTuple):
    """A turn that was answered completely.

    :param previous: the turn that it continues; empty at the start of a chain.
    :param entry: the ID of its spending entry.
    :param tokens: number of generated tokens, charged to the program's budget.
    :param keep_s: how long it must remain retrievable.
    :param new_input: the caller's new input.
    :param event_data: the data of each event, each followed by a line feed.
    """

    turn: str
    previous: str
    program: str
    entry: str
    tokens: int
    keep_s: float
    new_input: bytes
    event_data: bytes


@message(161)
class Spending(NamedTuple):
    """The most tokens that one turn of a program may spend, or, once settled, those it has spent.

    :param entry: generated for each attempt, so that no caller can spend twice under one ID.
    :param software: the software that the attempt was offered to, if its stream may be resumed.
    """

    program: str
    entry: str
    tokens: int
    settled: bool
    software: Software = NO_SOFTWARE


Record = KeptTurn | Spending
Key = str


class NumberedKey(NamedTuple):
    """A key, and its number in the order in which a node added its records."""

    number: int
    key: Key


def key_of(record: Record) -> Key:
    """Return the key of a record; records with equal keys are equal."""
    if isinstance(record, KeptTurn):
        return f"turn/{record.turn}"
    state = "settled" if record.settled else "reserved"
    return f"{state}/{record.program}/{record.entry}"


@final
class LedgerState:
    """The records of one node, in the order in which they were added."""

    def __init__(self) -> None:
        self._records: dict[Key, Record] = {}
        self._keys_by_number: dict[int, Key] = {}
        self._spendings: dict[str, dict[str, Spending]] = {}
        self._last_used: dict[Key, float] = {}
        self._programs_last_used: dict[str, float] = {}
        self._retention_s = MIN_RETENTION_S
        self.last_number = 0

    def __len__(self) -> int:
        return len(self._records)

    def get(self, key: Key) -> Record | None:
        """Return a record by its key."""
        return self._records.get(key)

    def add(self, record: Record, *, now: float) -> bool:
        """Add a record; return whether it is new."""
        key = key_of(record)
        self._touch(record, now)
        if key in self._records:
            return False
        self._records[key] = record
        self.last_number += 1
        self._keys_by_number[self.last_number] = key
        if isinstance(record, KeptTurn):
            self._retention_s = max(self._retention_s, record.keep_s)
            if record.entry:
                self._add_spending(Spending(record.program, record.entry, record.tokens, True))
        else:
            self._add_spending(record)
        return True

    def spendings(self, program: str) -> list[Spending]:
        """Return the spending of each turn of a program."""
        return list(self._spendings.get(program, {}).values())

    def chain(self, turn: str) -> Iterator[KeptTurn]:
        """Yield a turn and its predecessors, newest first, as far as they are held."""
        record = self._records.get(f"turn/{turn}")
        while isinstance(record, KeptTurn):
            yield record
            record = self._records.get(f"turn/{record.previous}") if record.previous else None

    def keys_after(self, number: int) -> Iterator[NumberedKey]:
        """Yield the keys added after a number, oldest first."""
        for candidate in range(number + 1, self.last_number + 1):
            key = self._keys_by_number.get(candidate)
            if key is not None:
                yield NumberedKey(candidate, key)

    def expire(self, now: float) -> int:
        """Drop the records past their retention; return how many were dropped."""
        cutoff = now - self._retention_s - RETENTION_MARGIN_S
        expired = [key for key, used_at in self._last_used.items() if used_at < cutoff]
        for key in expired:
            self._drop(key)
        for program in [name for name, at in self._programs_last_used.items() if at < cutoff]:
            del self._programs_last_used[program]
            self._spendings.pop(program, None)
        if expired:
            dropped = set(expired)
            self._keys_by_number = {
                at: key for at, key in self._keys_by_number.items() if key not in dropped
            }
        return len(expired)

    def __iter__(self) -> Iterator[Record]:
        return iter(self._records.values())

    def _touch(self, record: Record, now: float) -> None:
        """Mark a record as used, together with the records that it builds on."""
        self._last_used[key_of(record)] = now
        if record.program:
            self._programs_last_used[record.program] = now
        if isinstance(record, KeptTurn):
            for predecessor in self.chain(record.previous) if record.previous else ():
                self._last_used[key_of(predecessor)] = now
        else:
            for spending in self.spendings(record.program):
                self._touch_spending(spending, now)

    def _touch_spending(self, spending: Spending, now: float) -> None:
        for settled in (False, True):
            key = key_of(spending._replace(settled=settled))
            if key in self._last_used:
                self._last_used[key] = now

    def _add_spending(self, spending: Spending) -> None:
        turns = self._spendings.setdefault(spending.program, {})
        turns[spending.entry] = _merge(turns.get(spending.entry), spending)

    def _drop(self, key: Key) -> None:
        self._records.pop(key, None)
        self._last_used.pop(key, None)


def merge_spendings(copies: Iterable[Iterable[Spending]]) -> dict[str, Spending]:
    """Merge several copies of spendings by entry; a settled spending takes precedence."""
    merged: dict[str, Spending] = {}
    for copy in copies:
        for spending in copy:
            merged[spending.entry] = _merge(merged.get(spending.entry), spending)
    return merged


def _merge(known: Spending | None, other: Spending) -> Spending:
    """Merge two records of one entry; that of a stored turn names no software."""
    if known is None:
        return other
    latest = other if other.settled and not known.settled else known
    named = known if known.software != NO_SOFTWARE else other
    return latest._replace(software=named.software)
