"""The member records of one node, and the rules for merging updates into them.

The update with the higher incarnation wins. Within one incarnation the order of precedence is dead,
leaving, suspect, alive. Only a member raises its own incarnation, so that it can refute a wrong
state (Das, Gupta and Motivala 2002, section 4.2). A node that restarts under the same name has a
new boot id. It raises its incarnation above its predecessor's once it receives that record.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import final

import anyio
import xxhash

from bramleylead.fleet._members import Member
from bramleylead.fleet._members import MemberState
from bramleylead.process.membership._membership_messages import MemberUpdate
from bramleylead.process.membership._membership_messages import NodeStatus
from bramleylead.process.membership._membership_messages import update_of

BUCKET_COUNT = 16
DEAD_KEPT_S = 600.0

_STATE_PRECEDENCE = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}


def is_newer(update: MemberUpdate, known: MemberUpdate) -> bool:
    """Whether an update replaces the known record of a member."""
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    if _STATE_PRECEDENCE[update.state] != _STATE_PRECEDENCE[known.state]:
        return _STATE_PRECEDENCE[update.state] > _STATE_PRECEDENCE[known.state]
    return update.boot_id > known.boot_id


@final
class MemberTable:
    """All member records that one node knows."""

    def __init__(self, own: Member) -> None:
        self._own = own
        self._members: dict[str, Member] = {own.node: own}
        self._died_at: dict[str, float] = {}
        self._changed = anyio.Event()
        self._not_dead_sorted: tuple[Member, ...] | None = None
        self._hashes: dict[str, int] = {}
        self._buckets = [0] * BUCKET_COUNT
        self._update_bucket_hash(own)

    @property
    def own(self) -> Member:
        """The record of this node."""
        return self._own

    def get(self, node: str) -> Member | None:
        """Return one record."""
        return self._members.get(node)

    def not_dead(self) -> tuple[Member, ...]:
        """Return all records that are not dead, sorted by name."""
        if self._not_dead_sorted is None:
            names = sorted(self._members)
            records = (self._members[name] for name in names)
            self._not_dead_sorted = tuple(m for m in records if m.state is not MemberState.DEAD)
        return self._not_dead_sorted

    def others(self) -> list[Member]:
        """Return the records of the other members that are not dead."""
        return [member for member in self.not_dead() if member.node != self._own.node]

    def dead(self) -> list[Member]:
        """Return the records of dead members that are still kept."""
        return [self._members[name] for name in sorted(self._died_at)]

    def data_centres(self) -> set[str]:
        """Return the data centres of all known members, including dead ones."""
        return {member.data_centre for member in self._members.values()}

    async def wait_changed(self) -> None:
        """Wait until a field that callers select members by has changed in any record."""
        await self._changed.wait()

    def apply(self, update: MemberUpdate) -> bool:
        """Apply an update of another member; return whether it changed the record."""
        known = self._members.get(update.node)
        if known is not None and not is_newer(update, update_of(known)):
            return False
        status = (0, None, -1.0)
        if known is not None and known.boot_id == update.boot_id:
            status = (known.ticket, known.store_ok, known.ticket_age_s)
        self._put(Member(*update, *status))
        return True

    def refute(self, update: MemberUpdate) -> bool:
        """Handle an update about this node itself; return whether its incarnation was raised."""
        own = self._own
        same_process = update.boot_id == own.boot_id
        if same_process and not is_newer(update, update_of(own)):
            return False
        if not same_process and update.incarnation < own.incarnation:
            return False
        self._own = own._replace(incarnation=update.incarnation + 1)
        self._put(self._own)
        return True

    def update_own(self, **fields: object) -> None:
        """Change the record of this node and raise its incarnation."""
        self._own = self._own._replace(incarnation=self._own.incarnation + 1, **fields)
        self._put(self._own)

    def set_status(self, node: str, status: NodeStatus) -> None:
        """Store the status that a member reported.

        :meth:`get` returns it. Cached lists are not rebuilt and waiters are not woken.
        """
        known = self._members.get(node)
        if known is None:
            return
        updated = known._replace(
            ticket=status.ticket, store_ok=status.store_ok, ticket_age_s=status.ticket_age_s
        )
        self._members[node] = updated

    def remove_expired(self) -> None:
        """Remove members that have been dead for longer than ``DEAD_KEPT_S``."""
        now = anyio.current_time()
        for node in [
            name for name, died_at in self._died_at.items() if now - died_at > DEAD_KEPT_S
        ]:
            del self._died_at[node]
            del self._members[node]
            self._hashes.pop(node, None)

    @property
    def digest(self) -> int:
        """Hash of all records; equal views have equal digests."""
        combined = 0
        for bucket in self._buckets:
            combined ^= bucket
        return combined

    @property
    def buckets(self) -> list[int]:
        """One hash per bucket of node names."""
        return list(self._buckets)

    def differing_records(self, buckets: Sequence[int]) -> list[MemberUpdate]:
        """Return the records of all buckets whose hash differs from the given one."""
        own = self._buckets
        differing_buckets = {
            i for i in range(BUCKET_COUNT) if i >= len(buckets) or buckets[i] != own[i]
        }
        return [
            update_of(m) for m in self._members.values() if bucket_of(m.node) in differing_buckets
        ]

    def records_missing_from(
        self, records: Sequence[MemberUpdate], buckets: Sequence[int]
    ) -> list[MemberUpdate]:
        """Return the records that a view with these records and bucket hashes lacks."""
        remote_records = {record.node: record for record in records}
        return [
            own_record
            for own_record in self.differing_records(buckets)
            if own_record.node not in remote_records
            or is_newer(own_record, remote_records[own_record.node])
        ]

    def _put(self, member: Member) -> None:
        known = self._members.get(member.node)
        self._members[member.node] = member
        self._not_dead_sorted = None
        self._update_bucket_hash(member)
        if member.state is MemberState.DEAD:
            self._died_at.setdefault(member.node, anyio.current_time())
        else:
            self._died_at.pop(member.node, None)
        if known is None or _selection_fields(known) != _selection_fields(member):
            self._changed.set()
            self._changed = anyio.Event()

    def _update_bucket_hash(self, member: Member) -> None:
        """Update the hash of the member's bucket.

        Alive and suspect hash alike, because with such short-lived states views would rarely agree.
        """
        bucket = bucket_of(member.node)
        self._buckets[bucket] ^= self._hashes.pop(member.node, 0)
        if member.state is MemberState.DEAD:
            return
        leaving = member.state is MemberState.LEAVING
        text = f"{member.node}\0{member.incarnation}\0{member.boot_id}\0{leaving}"
        self._hashes[member.node] = xxhash.xxh64_intdigest(text.encode())
        self._buckets[bucket] ^= self._hashes[member.node]


def bucket_of(node: str) -> int:
    """Return the bucket of a node name."""
    return xxhash.xxh32_intdigest(node.encode()) % BUCKET_COUNT


def _selection_fields(member: Member) -> tuple[object, ...]:
    """Return the fields by which callers select members."""
    usable = member.state in (MemberState.ALIVE, MemberState.SUSPECT)
    return (
        usable,
        member.state is MemberState.DEAD,
        member.address,
        member.http_address,
        member.data_centre,
        member.boot_id,
    )
