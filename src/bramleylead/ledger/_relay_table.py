"""Which gateways reach the replicas, for gateways that don't.

Gateways report themselves with the messages by which they read the platform's objects. Each one
reports to a single node, so a gateway that needs the others asks all members. The table is soft
state.
"""

from __future__ import annotations

import random
from typing import NamedTuple
from typing import final

import anyio

from bramleylead.connection import PeerServer
from bramleylead.connection import Reply
from bramleylead.connection import message

REPORT_LIFETIME_S = 2.5
"""A gateway reports about once a second."""
MAX_RELAYS_RETURNED = 24


@message(186)
class RelayGateway(NamedTuple):
    """A gateway that sends requests to replicas for others.

    :param address: where it takes the requests of other gateways; empty if it takes none now.
    """

    node: str
    address: str
    data_centre: str


NO_RELAY = RelayGateway("", "", "")


@message(187)
class AskRelays(NamedTuple):
    """Asks which other gateways reach the replicas; answered by :class:`KnownRelays`."""

    gateway: str


@message(188)
class KnownRelays(NamedTuple):
    """Some gateways that have lately reported that they reach replicas, in random order."""

    relays: tuple[RelayGateway, ...]


class _Report(NamedTuple):
    relay: RelayGateway
    reported_at: float


@final
class RelayTable:
    """The gateways that have reported to one node."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._reports: dict[str, _Report] = {}

    def register_handlers(self, server: PeerServer) -> None:
        """Register the handler of the gateways' questions."""
        server.handle(AskRelays, self._ask)

    def record(self, relay: RelayGateway, *, now: float) -> None:
        """Record what a gateway reports of itself."""
        if relay.address:
            self._reports[relay.node] = _Report(relay, now)
        else:
            self._reports.pop(relay.node, None)

    def relays_for(self, gateway: str, *, now: float) -> tuple[RelayGateway, ...]:
        """Return some of the other gateways, in random order."""
        self._drop_expired(now)
        others = [report.relay for name, report in self._reports.items() if name != gateway]
        return tuple(self._rng.sample(others, min(len(others), MAX_RELAYS_RETURNED)))

    def _drop_expired(self, now: float) -> None:
        for name, report in list(self._reports.items()):
            if now - report.reported_at > REPORT_LIFETIME_S:
                del self._reports[name]

    async def _ask(self, request: AskRelays, reply: Reply) -> None:
        relays = self.relays_for(request.gateway, now=anyio.current_time())
        await reply.send(KnownRelays(relays))
