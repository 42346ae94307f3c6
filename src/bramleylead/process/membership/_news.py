"""News that waits to travel with probes: a few bytes at a time, each a few times."""

from __future__ import annotations

import math
from typing import final

from bramleylead.process.membership._membership_messages import News

PIGGYBACK_BYTES = 1_200
RECORD_OVERHEAD_BYTES = 24
COPIES_PER_LOG2 = 2


@final
class NewsQueue:
    """The least-sent news goes first, and leaves after O(log n) copies."""

    def __init__(self) -> None:
        self._sent: dict[str, int] = {}
        self._items: dict[str, News] = {}

    def __len__(self) -> int:
        return len(self._items)

    def add(self, item: News) -> None:
        """Queue news; it replaces older news of the same member."""
        self._items[item.node] = item
        self._sent[item.node] = 0

    def take(self, members: int, *, limit_bytes: int = PIGGYBACK_BYTES) -> list[News]:
        """Return the news for one message in a fleet of ``members`` nodes."""
        copies = COPIES_PER_LOG2 * math.ceil(math.log2(members + 1))
        taken: list[News] = []
        left = limit_bytes
        for node in sorted(self._items, key=lambda name: (self._sent[name], name)):
            left -= size_bytes(self._items[node])
            if left < 0:
                break
            taken.append(self._items[node])
            self._count(node, copies)
        return taken

    def _count(self, node: str, copies: int) -> None:
        self._sent[node] += 1
        if self._sent[node] >= copies:
            del self._sent[node]
            del self._items[node]


def size_bytes(item: News) -> int:
    """Return about how many bytes news takes on the wire."""
    texts = (item.node, item.address, item.http_address, item.region, item.data_centre)
    return RECORD_OVERHEAD_BYTES + sum(len(text) for text in texts) + len(item.boot_id)
