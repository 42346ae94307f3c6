"""Brings the gauges and totals up to date that no event sets, every few seconds."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from collections.abc import Sequence
from typing import final

import anyio

from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.metrics import Metrics
from bramleylead.process.budgets._budget import BudgetEscrow
from bramleylead.process.journal._partition_log import PartitionLog

REFRESH_S = 5.0


@final
class GaugeRefresher:
    """Reads the parts of one node and sets their metrics.

    :param owned: returns the partitions that this node owns.
    """

    def __init__(
        self,
        metrics: Metrics,
        client: PeerClient,
        server: PeerServer,
        escrow: BudgetEscrow,
        owned: Callable[[], Sequence[PartitionLog]],
    ) -> None:
        self._metrics = metrics
        self._client = client
        self._server = server
        self._escrow = escrow
        self._owned = owned

    async def run(self) -> None:
        """Refresh until cancelled."""
        while True:
            self.refresh()
            await anyio.sleep(REFRESH_S)

    def refresh(self) -> None:
        """Set every metric once."""
        owned = self._owned()
        bad_frames = self._client.bad_frames + self._server.bad_frames
        self._metrics.peer_frames_bad.set({}, bad_frames)
        self._metrics.budget_refusals.set({}, self._escrow.refusals)
        self._metrics.highest_epoch.set({}, max((log.epoch for log in owned), default=0))
        self._set_programs(owned)

    def _set_programs(self, owned: Sequence[PartitionLog]) -> None:
        live = ended = 0
        held: Counter[str] = Counter()
        for log in owned:
            for program in log.state.programs.values():
                ended += bool(program.ended)
                live += not program.ended
                held.update(program.caches)
        self._metrics.programs.set({"state": "live"}, live)
        self._metrics.programs.set({"state": "ended"}, ended)
        for endpoint in set(self._known_endpoints()) - set(held):
            self._metrics.cache_tokens_held.set({"endpoint": endpoint}, 0)
        for endpoint, tokens in sorted(held.items()):
            self._metrics.cache_tokens_held.set({"endpoint": endpoint}, tokens)

    def _known_endpoints(self) -> list[str]:
        return [labels["endpoint"] for labels, _ in self._metrics.cache_tokens_held.get_all()]
