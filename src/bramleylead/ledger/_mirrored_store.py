"""Reads the platform's objects through members of the ledger, which watch the store for all others.

One node is queried at a time. If it does not confirm in time that what this process knows is
current, all other nodes are queried at once, and at last the store itself. Each request carries the
latest revision that this process has seen, so that no node answers with older data.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import Protocol
from typing import TypeVar
from typing import final

import anyio
import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.connection import PeerClient
from bramleylead.ledger._customer_usage import CustomerCount
from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._members import LedgerView
from bramleylead.ledger._mirror import NO_REVISION
from bramleylead.ledger._mirror import AskMirror
from bramleylead.ledger._mirror import Mirrored
from bramleylead.ledger._mirror import to_object_change
from bramleylead.ledger._relay_table import NO_RELAY
from bramleylead.ledger._relay_table import RelayGateway
from bramleylead.ledger._store_outages import StoreOutages
from bramleylead.placement._crash_table import CrashTable
from bramleylead.platform._follow import ConfirmingSource
from bramleylead.platform._objects import ChangePage
from bramleylead.platform._objects import ObjectPage
from bramleylead.platform._store import StoreError
from bramleylead.platform._store import StoreErrorKind

STORE = "store"
MAX_AGE_S = 1.6
"""Age of what is known at which all nodes are queried; a leaving replica must be known in 2.5 s."""
NODE_WAIT_S = 0.8
"""How long a node waits for changes before it answers; short, so that a stall is noticed soon."""
RESPONSE_SLACK_S = 0.3
AVOID_FAILED_NODE_S = 3.0
STORE_RETRY_DELAY_S = 2.0
"""The store may refuse one process or all of them; after a failure each retries it rarely."""
MAX_STORE_DELAY_S = 0.3
"""When the members stop answering, all gateways notice it at the same time."""

log = structlog.get_logger()

_Answer = TypeVar("_Answer", bound=Result[ObjectPage, StoreError] | Result[ChangePage, StoreError])


class MemberSource(Protocol):
    """The members of the ledger, as one process knows them."""

    @property
    def view(self) -> LedgerView:
        """The latest known view."""
        ...

    def members_by_distance(self) -> Sequence[LedgerMember]:
        """Return the other members, nearest first."""
        ...

    async def refresh(self) -> None:
        """Ask for a later view."""
        ...


class TrafficReporter(Protocol):
    """What a gateway reports of its traffic, and the share of it that it gets to know."""

    @property
    def demand_per_s(self) -> float:
        """The requests a second that callers have lately sent."""
        ...

    def record_share(self, share: float) -> None:
        """Record this gateway's share of the fleet's traffic, from 0 to 1."""
        ...


class UsageReporter(Protocol):
    """What a gateway reports of its customers' requests, and what it gets to know of their use."""

    def report(self) -> tuple[CustomerCount, ...] | None:
        """Return the requests of the last 5 s; ``None`` if no customer has a quota."""
        ...

    def record_answer(self, mirrored: Mirrored, *, asked_at: float) -> None:
        """Record what a node knows of the customers' use, and when it was asked."""
        ...


@final
class MirroredStore:
    """The platform's objects as one gateway or spare node reads them.

    :param store: queried if no node answers.
    :param gateway: the name under which traffic is reported; empty for a node of the ledger.
    :param relay_offer: returns how this gateway offers to take the requests of others.
    :param traffic: this gateway's traffic.
    :param crashes: learns of the requests that crash replicas.
    :param usage: reports the requests of the customers, and learns of their use.
    :param patience_s: after the start, the store is not queried for this time, since the nodes
        usually start at the same moment.
    :param on_store_failure: called with the seconds since the store last failed.
    """

    def __init__(
        self,
        store: ConfirmingSource,
        peers: PeerClient,
        ledger: MemberSource,
        *,
        on_store_failure: Callable[[float], None],
        rng: random.Random,
        gateway: str = "",
        relay_offer: Callable[[], RelayGateway] = lambda: NO_RELAY,
        traffic: TrafficReporter | None = None,
        crashes: CrashTable | None = None,
        usage: UsageReporter | None = None,
        patience_s: float = 0.0,
    ) -> None:
        self._rng = rng
        self._store = store
        self._peers = peers
        self._ledger = ledger
        self._on_store_failure = on_store_failure
        self._outages = StoreOutages()
        self._gateway = gateway
        self._relay_offer = relay_offer
        self._traffic = traffic
        self._crashes = crashes
        self._usage = usage
        self._seen_revisions: dict[str, int] = {}
        self._failed_at: dict[str, float] = {}
        self._store_retry_at = anyio.current_time() + patience_s
        self._members_answer = True
        self._sources: dict[str, str] = {}
        self._confirmed_at: dict[str, float] = {}

    def confirmed_at(self, kind: str) -> float:
        """Return the time up to which all changes of a kind were reported; ``-inf`` if none."""
        return max(
            self._confirmed_at.get(kind, float("-inf")),
            self._store.confirmed_at(kind),
        )

    async def list(self, kind: str, *, after: str = "") -> Result[ObjectPage, StoreError]:
        """Read the objects of a kind; only lists from the store itself are paginated."""
        mirrored = None if after else await self._query_nodes(kind, full_list=True)
        if mirrored is not None:
            objects = tuple(to_object_change(item).object for item in mirrored.objects)
            return Ok(ObjectPage(objects, False, mirrored.as_of))
        page = await self._query_store(lambda: self._store.list(kind, after=after))
        if isinstance(page, Ok) and not page.ok_value.more:
            self._record_read(kind, STORE, page.ok_value.as_of)
        return page

    async def watch(
        self, kind: str, *, after: int, wait_s: float
    ) -> Result[ChangePage, StoreError]:
        """Wait for changes of a kind; may return none before ``wait_s`` has passed."""
        self._seen_revisions[kind] = after
        mirrored = await self._query_nodes(kind, full_list=False)
        if mirrored is None:
            return await self._watch_store(kind, after, wait_s)
        if mirrored.full_list:
            detail = f"{kind}: changes since revision {after} are no longer available"
            return Err(StoreError(StoreErrorKind.NOT_FOUND, detail))
        changes = tuple(map(to_object_change, mirrored.objects))
        return Ok(ChangePage(changes, max(after, mirrored.as_of)))

    async def _watch_store(
        self, kind: str, after: int, wait_s: float
    ) -> Result[ChangePage, StoreError]:
        page = await self._query_store(lambda: self._store.watch(kind, after=after, wait_s=wait_s))
        if isinstance(page, Ok):
            self._record_read(kind, STORE, page.ok_value.as_of)
        return page

    async def _query_nodes(self, kind: str, *, full_list: bool) -> Mirrored | None:
        """Return a node's response, or ``None`` if no queried node has recent enough data."""
        if not self._ledger.view.members:
            await self._ledger.refresh()
        members = self._members_by_preference()
        if not members:
            return None
        wait_s = self._node_wait_s(kind)
        known_revision = self._seen_revisions.get(kind, NO_REVISION)
        offer = self._relay_offer()
        request = AskMirror(
            kind,
            known_revision,
            full_list,
            wait_s,
            self._gateway,
            relay_address=offer.address,
            data_centre=offer.data_centre,
        )
        if self._traffic is not None:
            request = request._replace(demand_per_s=self._traffic.demand_per_s)
        counts = None if self._usage is None else self._usage.report()
        if counts is not None:
            request = request._replace(usage=counts, reports_usage=True)
        mirrored = await self._query_first([members[0]], request)
        if mirrored is None:
            # Several nodes are queried, and each would count the customers' requests.
            request = request._replace(wait_s=0.0, usage=(), reports_usage=False)
            mirrored = await self._query_first(members[1:], request)
        if mirrored is not None and mirrored.ledger_epoch > self._ledger.view.epoch:
            await self._ledger.refresh()
        return mirrored

    def _node_wait_s(self, kind: str) -> float:
        """Return how long a node may wait, so that others can be queried before ``MAX_AGE_S``."""
        age_s = anyio.current_time() - self.confirmed_at(kind)
        return max(0.0, min(NODE_WAIT_S, MAX_AGE_S - RESPONSE_SLACK_S - age_s))

    async def _query_first(
        self, members: Sequence[LedgerMember], request: AskMirror
    ) -> Mirrored | None:
        """Query nodes at the same time and return the first response with current data."""
        responses: list[Mirrored] = []

        async def query(member: LedgerMember) -> None:
            response = await self._query_node(member, request)
            if response is not None:
                responses.append(response)
                queries.cancel_scope.cancel()

        async with anyio.create_task_group() as queries:
            for member in members:
                queries.start_soon(query, member)
        return responses[0] if responses else None

    async def _query_node(self, member: LedgerMember, request: AskMirror) -> Mirrored | None:
        started_at = anyio.current_time()
        response = await self._peers.request(
            member.address,
            request,
            timeout_s=request.wait_s + RESPONSE_SLACK_S,
            idempotent=True,
        )
        if isinstance(response, Err) or not isinstance(response.ok_value, Mirrored):
            self._failed_at[member.node] = anyio.current_time()
            return None
        mirrored = response.ok_value
        self._record_read(request.kind, member.node, mirrored.as_of)
        self._confirm(request.kind, started_at + mirrored.waited_s - mirrored.age_s)
        self._members_answer = True
        if self._traffic is not None and mirrored.traffic_share > 0:
            self._traffic.record_share(mirrored.traffic_share)
        if self._crashes is not None:
            self._crashes.merge_all(mirrored.crashes, now=anyio.current_time())
        if self._usage is not None and request.reports_usage:
            self._usage.record_answer(mirrored, asked_at=started_at)
        since_failure_s = self._outages.record(member.node, mirrored.since_failure_s)
        if since_failure_s is not None:
            self._on_store_failure(since_failure_s)
        return mirrored

    def _members_by_preference(self) -> Sequence[LedgerMember]:
        """Return the nodes in query order: nearest first, recently failed ones last."""
        now = anyio.current_time()
        return sorted(
            self._ledger.members_by_distance(),
            key=lambda member: (
                now - self._failed_at.get(member.node, -AVOID_FAILED_NODE_S) < AVOID_FAILED_NODE_S
            ),
        )

    async def _query_store(self, call: Callable[[], Awaitable[_Answer]]) -> _Answer:
        """Query the store itself, unless this was just begun or a recent call to it failed."""
        now = anyio.current_time()
        if self._members_answer and self._sources:
            delay_s = self._rng.uniform(0.0, MAX_STORE_DELAY_S)
            self._store_retry_at = max(self._store_retry_at, now + delay_s)
        self._members_answer = False
        if now < self._store_retry_at:
            detail = "no node of the ledger answers, and the store may not be queried yet"
            return Err(StoreError(StoreErrorKind.UNAVAILABLE, detail))
        response = await call()
        if isinstance(response, Err) and response.err_value.kind is not StoreErrorKind.NOT_FOUND:
            delay_s = STORE_RETRY_DELAY_S * self._rng.uniform(0.5, 1.0)
            self._store_retry_at = anyio.current_time() + delay_s
        return response

    def _confirm(self, kind: str, at: float) -> None:
        self._confirmed_at[kind] = max(self._confirmed_at.get(kind, float("-inf")), at)

    def _record_read(self, kind: str, source: str, as_of: int) -> None:
        """Record the source and the revision at which a kind was read."""
        self._seen_revisions[kind] = max(self._seen_revisions.get(kind, NO_REVISION), as_of)
        if self._sources.get(kind) != source:
            previous_source = self._sources.get(kind)
            self._sources[kind] = source
            log.info(
                "source_changed",
                kind=kind,
                source=source,
                former=previous_source,
                as_of=as_of,
                age_s=round(anyio.current_time() - self.confirmed_at(kind), 3),
            )
