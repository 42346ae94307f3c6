"""Queue of membership updates to piggyback on probes, in bounded size and number of copies."""

from __future__ import annotations

import math
from typing import final

from bramleylead.process.membership._membership_messages import MemberUpdate

PIGGYBACK_BYTES = 1_200
RECORD_OVERHEAD_BYTES = 24
COPIES_PER_LOG2 = 2


@final
class UpdateQueue:
    """Sends the least-sent updates first and drops each after O(log n) copies."""

    def __init__(self) -> None:
        self._copies_sent: dict[str, int] = {}
        self._updates: dict[str, MemberUpdate] = {}

    def __len__(self) -> int:
        return len(self._updates)

    def add(self, update: MemberUpdate) -> None:
        """Queue an update; it replaces a queued update of the same member."""
        self._updates[update.node] = update
        self._copies_sent[update.node] = 0

    def next_batch(
        self, member_count: int, *, limit_bytes: int = PIGGYBACK_BYTES
    ) -> list[MemberUpdate]:
        """Return the updates for one message in a fleet of ``member_count`` nodes."""
        max_copies = COPIES_PER_LOG2 * math.ceil(math.log2(member_count + 1))
        batch: list[MemberUpdate] = []
        bytes_left = limit_bytes
        for node in sorted(self._updates, key=lambda name: (self._copies_sent[name], name)):
            bytes_left -= size_bytes(self._updates[node])
            if bytes_left < 0:
                break
            batch.append(self._updates[node])
            self._count_copy(node, max_copies)
        return batch

    def _count_copy(self, node: str, max_copies: int) -> None:
        self._copies_sent[node] += 1
        if self._copies_sent[node] >= max_copies:
            del self._copies_sent[node]
            del self._updates[node]


def size_bytes(update: MemberUpdate) -> int:
    """Return the approximate size of an update on the wire."""
    texts = (update.node, update.address, update.http_address, update.region, update.data_centre)
    return RECORD_OVERHEAD_BYTES + sum(len(text) for text in texts) + len(update.boot_id)
