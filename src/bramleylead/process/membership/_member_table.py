"""The records of all members, and the rules by which news changes them.

News of a higher incarnation wins; in one incarnation dead beats leaving beats suspect beats alive.
Only a member raises its own incarnation, so it can refute what is believed of it (Das, Gupta and
Motivala 2002, section 4.2). A node that starts again under its name has a fresh boot id; it takes
an incarnation above its predecessor's as soon as it hears of it.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import final

import anyio
import xxhash

from bramleylead.process.membership._members import Member
from bramleylead.process.membership._members import MemberState
from bramleylead.process.membership._membership_messages import Facts
from bramleylead.process.membership._membership_messages import News
from bramleylead.process.membership._membership_messages import news_of

BUCKETS = 16
DEAD_KEPT_S = 600.0

_RANK = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}


def is_newer(news: News, known: News) -> bool:
    """Whether news about a member replaces what is known."""
    if news.incarnation != known.incarnation:
        return news.incarnation > known.incarnation
    if _RANK[news.state] != _RANK[known.state]:
        return _RANK[news.state] > _RANK[known.state]
    return news.boot_id > known.boot_id


@final
class MemberTable:
    """All records of one node's view."""

    def __init__(self, own: Member) -> None:
        self._own = own
        self._members: dict[str, Member] = {own.node: own}
        self._died_at: dict[str, float] = {}
        self._changed = anyio.Event()
        self._sorted: tuple[Member, ...] | None = None
        self._hashes: dict[str, int] = {}
        self._buckets = [0] * BUCKETS
        self._hash(own)

    @property
    def own(self) -> Member:
        """The record of this node."""
        return self._own

    def get(self, node: str) -> Member | None:
        """Return one record."""
        return self._members.get(node)

    def listed(self) -> tuple[Member, ...]:
        """Return all records that are not dead, by name."""
        if self._sorted is None:
            names = sorted(self._members)
            records = (self._members[name] for name in names)
            self._sorted = tuple(m for m in records if m.state is not MemberState.DEAD)
        return self._sorted

    def others(self) -> list[Member]:
        """Return the records of the other members that are not dead."""
        return [member for member in self.listed() if member.node != self._own.node]

    def dead(self) -> list[Member]:
        """Return the members that are remembered as dead."""
        return [self._members[name] for name in sorted(self._died_at)]

    def data_centres(self) -> set[str]:
        """Return the data centres of all members that are remembered, dead ones too."""
        return {member.data_centre for member in self._members.values()}

    async def wait_changed(self) -> None:
        """Wait until a record that others choose by has changed."""
        await self._changed.wait()

    def apply(self, news: News) -> bool:
        """Take in news of another member; return whether it was new."""
        known = self._members.get(news.node)
        if known is not None and not is_newer(news, news_of(known)):
            return False
        facts = (0, None, -1.0)
        if known is not None and known.boot_id == news.boot_id:
            facts = (known.ticket, known.store_ok, known.ticket_age_s)
        self._put(Member(*news, *facts))
        return True

    def refute(self, news: News) -> bool:
        """Take in news of this node itself; return whether the own incarnation was raised."""
        own = self._own
        same_process = news.boot_id == own.boot_id
        if same_process and not is_newer(news, news_of(own)):
            return False
        if not same_process and news.incarnation < own.incarnation:
            return False
        self._own = own._replace(incarnation=news.incarnation + 1)
        self._put(self._own)
        return True

    def change_own(self, **fields: object) -> None:
        """Change the record of this node and raise its incarnation."""
        self._own = self._own._replace(incarnation=self._own.incarnation + 1, **fields)
        self._put(self._own)

    def note_facts(self, node: str, facts: Facts) -> None:
        """Keep what a member said of itself: :meth:`get` shows it, lists and waiters do not."""
        known = self._members.get(node)
        if known is None:
            return
        fresh = known._replace(
            ticket=facts.ticket, store_ok=facts.store_ok, ticket_age_s=facts.ticket_age_s
        )
        self._members[node] = fresh

    def forget_old(self) -> None:
        """Drop members that died long ago."""
        now = anyio.current_time()
        for node in [name for name, at in self._died_at.items() if now - at > DEAD_KEPT_S]:
            del self._died_at[node]
            del self._members[node]
            self._hashes.pop(node, None)

    @property
    def digest(self) -> int:
        """Hash over the whole view; equal views have equal digests."""
        combined = 0
        for bucket in self._buckets:
            combined ^= bucket
        return combined

    @property
    def buckets(self) -> list[int]:
        """One hash for each bucket of names."""
        return list(self._buckets)

    def differing(self, buckets: Sequence[int]) -> list[News]:
        """Return the records of buckets whose hash is another than the one given."""
        own = self._buckets
        differ = {i for i in range(BUCKETS) if i >= len(buckets) or buckets[i] != own[i]}
        return [news_of(m) for m in self._members.values() if bucket_of(m.node) in differ]

    def newer_than(self, records: Sequence[News], buckets: Sequence[int]) -> list[News]:
        """Return what a view lacks, of which these records and hashes are known."""
        theirs = {record.node: record for record in records}
        return [
            mine
            for mine in self.differing(buckets)
            if mine.node not in theirs or is_newer(mine, theirs[mine.node])
        ]

    def _put(self, member: Member) -> None:
        known = self._members.get(member.node)
        self._members[member.node] = member
        self._sorted = None
        self._hash(member)
        if member.state is MemberState.DEAD:
            self._died_at.setdefault(member.node, anyio.current_time())
        else:
            self._died_at.pop(member.node, None)
        if known is None or _choice(known) != _choice(member):
            self._changed.set()
            self._changed = anyio.Event()

    def _hash(self, member: Member) -> None:
        """Keep the bucket's hash; passing states do not enter it, or views would seldom agree."""
        bucket = bucket_of(member.node)
        self._buckets[bucket] ^= self._hashes.pop(member.node, 0)
        if member.state is MemberState.DEAD:
            return
        leaving = member.state is MemberState.LEAVING
        text = f"{member.node}\0{member.incarnation}\0{member.boot_id}\0{leaving}"
        self._hashes[member.node] = xxhash.xxh64_intdigest(text.encode())
        self._buckets[bucket] ^= self._hashes[member.node]


def bucket_of(node: str) -> int:
    """Return the bucket of a name."""
    return xxhash.xxh32_intdigest(node.encode()) % BUCKETS


def _choice(member: Member) -> tuple[object, ...]:
    """Return what others choose members by."""
    usable = member.state in (MemberState.ALIVE, MemberState.SUSPECT)
    return (
        usable,
        member.state is MemberState.DEAD,
        member.address,
        member.http_address,
        member.data_centre,
        member.boot_id,
    )
