"""The other gateways that send requests to replicas for this one, and which of them to ask."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple
from typing import final

import anyio
from result import Err

from bramleylead.connection import PeerClient
from bramleylead.gateway._relay_messages import CheckReplica
from bramleylead.gateway._relay_messages import Reach
from bramleylead.gateway._relay_messages import RelayRefusal
from bramleylead.gateway._relay_messages import ReplicaChecked
from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._mirrored_store import MemberSource
from bramleylead.ledger._relay_table import AskRelays
from bramleylead.ledger._relay_table import KnownRelays
from bramleylead.ledger._relay_table import RelayGateway
from bramleylead.platform._types import Replica

MAX_LIST_AGE_S = 5.0
"""While the paths are lost, the list is read more often, but no request waits for that."""
LIST_TIMEOUT_S = 0.3
LIST_PATIENCE_S = 0.04
"""After the first answer, members of other regions may still answer."""
CHECK_TIMEOUT_S = 0.4
"""Covers the other gateway's own attempt to connect."""
CHECKS_AT_ONCE = 2
MAX_CHECK_ROUNDS = 3
AVOID_FAILED_RELAY_S = 1.0


class Confirmation(NamedTuple):
    """What another gateway found when it tried to connect to a replica."""

    relay: str
    reach: Reach


@final
class Relays:
    """The other gateways, as the ledger's members know them.

    :param node: this gateway's name.
    :param data_centre: this gateway's data centre.
    :param regions: the region of each data centre.
    """

    def __init__(
        self,
        peers: PeerClient,
        ledger: MemberSource,
        *,
        node: str,
        data_centre: str,
        regions: dict[str, str],
        rng: random.Random,
    ) -> None:
        self._rng = rng
        self.peers = peers
        self._ledger = ledger
        self._node = node
        self._data_centre = data_centre
        self._regions = regions
        self._known: dict[str, RelayGateway] = {}
        self._known_at = float("-inf")
        self._failed_at: dict[str, float] = {}
        self._refreshing = anyio.Lock()

    @property
    def any_known(self) -> bool:
        """Whether any other gateway is known to reach replicas."""
        return bool(self._known)

    async def refresh(self, *, max_age_s: float = MAX_LIST_AGE_S) -> None:
        """Ask all members which gateways reach replicas, unless this was done lately."""
        async with self._refreshing:
            if anyio.current_time() - self._known_at >= max_age_s:
                await self._ask_members()
                self._known_at = anyio.current_time()

    async def _ask_members(self) -> None:
        known: dict[str, RelayGateway] = {}
        answered = anyio.Event()

        async def ask(member: LedgerMember) -> None:
            answer = await self.peers.request(
                member.address, AskRelays(self._node), timeout_s=LIST_TIMEOUT_S, idempotent=True
            )
            if not isinstance(answer, Err) and isinstance(answer.ok_value, KnownRelays):
                known.update({relay.node: relay for relay in answer.ok_value.relays})
                answered.set()

        async with anyio.create_task_group() as tasks:
            for member in self._ledger.members_by_distance():
                tasks.start_soon(ask, member)
            with anyio.move_on_after(LIST_TIMEOUT_S):
                await answered.wait()
                await anyio.sleep(LIST_PATIENCE_S)
            tasks.cancel_scope.cancel()
        if known:
            self._known = known
            self._failed_at = {name: at for name, at in self._failed_at.items() if name in known}

    def by_preference(self, replica: Replica) -> list[RelayGateway]:
        """Return the gateways to ask: those beside the replica first, then the near ones.

        Gateways that are equally near are in random order, so that they share the load.
        """
        relays = self._rng.sample(list(self._known.values()), len(self._known))
        now = anyio.current_time()

        def distance(relay: RelayGateway) -> tuple[bool, bool, bool]:
            region = self._regions.get(relay.data_centre)
            return (
                now - self._failed_at.get(relay.node, float("-inf")) < AVOID_FAILED_RELAY_S,
                relay.data_centre != replica.data_centre,
                region != self._regions.get(self._data_centre),
            )

        return sorted(relays, key=distance)

    def record_failure(self, relay: RelayGateway) -> None:
        """Record that a gateway did not answer or can't send requests; others come first."""
        self._failed_at[relay.node] = anyio.current_time()

    async def check(self, replica: Replica) -> Confirmation | None:
        """Return whether another gateway reaches a replica; ``None`` if none can tell.

        Gateways of several data centres are asked, since one may have lost its own paths.
        """
        await self.refresh()
        found: list[Confirmation] = []
        remaining = self.by_preference(replica)
        for _ in range(MAX_CHECK_ROUNDS):
            if found:
                break
            asked = _of_other_data_centres(remaining)[:CHECKS_AT_ONCE]
            remaining = [relay for relay in remaining if relay not in asked]
            async with anyio.create_task_group() as tasks:

                async def ask(relay: RelayGateway, scope: anyio.CancelScope) -> None:
                    confirmation = await self._ask_relay(relay, replica)
                    if confirmation is None:
                        return
                    found.append(confirmation)
                    if confirmation.reach is Reach.REACHED:
                        scope.cancel()

                for relay in asked:
                    tasks.start_soon(ask, relay, tasks.cancel_scope)
        reached = (one for one in found if one.reach is Reach.REACHED)
        return next(reached, found[0] if found else None)

    async def _ask_relay(self, relay: RelayGateway, replica: Replica) -> Confirmation | None:
        answer = await self.peers.request(
            relay.address, CheckReplica(replica.name), timeout_s=CHECK_TIMEOUT_S
        )
        if isinstance(answer, Err) or not isinstance(answer.ok_value, ReplicaChecked):
            self.record_failure(relay)
            return None
        checked = answer.ok_value
        if checked.refusal is None:
            return Confirmation(relay.node, checked.reach)
        if checked.refusal is not RelayRefusal.NOT_LISTED:
            self.record_failure(relay)
        return None


def _of_other_data_centres(relays: Sequence[RelayGateway]) -> list[RelayGateway]:
    """Return the relays with the first one of each data centre before all others."""
    first = {relay.data_centre: relay for relay in reversed(relays)}
    return sorted(relays, key=lambda relay: first[relay.data_centre] is not relay)
