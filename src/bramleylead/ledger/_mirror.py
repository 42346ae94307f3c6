"""Objects that a ledger node has read from the platform's store, served to the gateways.

Each watch of the store is charged for, and each change wakes every watcher. Therefore only the few
ledger nodes watch the store, and the many gateways query these nodes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple
from typing import final

import anyio

from bramleylead.connection import PeerServer
from bramleylead.connection import Reply
from bramleylead.connection import message
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.ledger._customer_usage import CustomerCount
from bramleylead.ledger._customer_usage import CustomerUsage
from bramleylead.ledger._customer_usage import CustomerUse
from bramleylead.ledger._relay_table import RelayGateway
from bramleylead.ledger._relay_table import RelayTable
from bramleylead.ledger._traffic_shares import TrafficShares
from bramleylead.placement._crash_table import CrashEvidence
from bramleylead.placement._crash_table import CrashTable
from bramleylead.platform._follow import ConfirmingSource
from bramleylead.platform._objects import ObjectChange
from bramleylead.platform._objects import PlatformObject

NO_REVISION = -1
STALE_AFTER_S = 0.6
"""A single failed call must not make the gateways switch to another source."""
MAX_NODE_AGE_S = 1.0
"""A node whose knowledge was confirmed longer ago may have lost the store without an error."""
MIN_WAIT_S = 0.01
MAX_HISTORY_CHANGES = 2_000


@message(179)
class AskMirror(NamedTuple):
    """Asks for the changes of a kind of objects; answered by :class:`Mirrored`.

    :param known_revision: the store's revision up to which the asker knows the objects, or
        ``NO_REVISION``. It may be later than the last change that the node has seen.
    :param full_list: requests all objects instead of the changes.
    :param wait_s: how long the answer may wait for a change.
    :param gateway: the gateway that reports its traffic; empty if another process asks.
    :param demand_per_s: the requests a second that this gateway gets.
    :param relay_address: where this gateway takes the requests of others; empty if it takes none.
    :param data_centre: the gateway's.
    :param usage: the requests of customers with a quota at this gateway.
    :param reports_usage: whether the gateway counts these requests, even if there are none.
    """

    kind: str
    known_revision: int
    full_list: bool
    wait_s: float
    gateway: str = ""
    demand_per_s: float = 0.0
    relay_address: str = ""
    data_centre: str = ""
    usage: tuple[CustomerCount, ...] = ()
    reports_usage: bool = False


@message(180)
class MirroredObject(NamedTuple):
    """One object as stored, or, if ``removed``, as it was before its removal."""

    name: str
    value: Any
    status: Any
    revision: int
    deleting: bool
    removed: bool


@message(181)
class Mirrored(NamedTuple):
    """Changes of a kind of objects in order, or all its objects if ``full_list``.

    :param as_of: the store's revision of the last answer that the node received.
    :param since_failure_s: seconds since a call of the node to the store last failed; negative if
        none has failed.
    :param ledger_epoch: the epoch of the node's view of the ledger's members.
    :param age_s: seconds since the time up to which the node knows every change.
    :param waited_s: seconds for which the node held the request.
    :param traffic_share: the part of the fleet's traffic that the gateway has; 0 if unknown.
    :param crashes: the requests that crash replicas, as far as this has lately become known.
    :param customers: the use of every customer above a quarter of its allowance.
    :param gateways: how many gateways are known at all nodes; 0 if the node doesn't count them.
    :param quota_owners: the nodes that can be quota owners.
    """

    full_list: bool
    objects: tuple[MirroredObject, ...]
    as_of: int
    since_failure_s: float
    ledger_epoch: int = 0
    age_s: float = 0.0
    waited_s: float = 0.0
    traffic_share: float = 0.0
    crashes: tuple[CrashEvidence, ...] = ()
    customers: tuple[CustomerUse, ...] = ()
    gateways: int = 0
    quota_owners: tuple[str, ...] = ()


class _Change(NamedTuple):
    """A change, and the revision as of which the store reported it."""

    change: ObjectChange
    as_of: int


@final
class MirroredKind:
    """The objects of one kind, and their recent changes."""

    def __init__(self, kind: str, source: ConfirmingSource) -> None:
        self.kind = kind
        self._source = source
        self._objects: dict[str, PlatformObject] = {}
        self._changes: deque[_Change] = deque(maxlen=MAX_HISTORY_CHANGES)
        self._as_of = NO_REVISION
        self._history_from = NO_REVISION
        self._failing_since: float | None = None
        self._last_failure_at: float | None = None
        self._updated = anyio.Event()
        self._announcements = 0

    @property
    def is_current(self) -> bool:
        """Whether the objects have been read and the store has answered recently."""
        if self._as_of == NO_REVISION or self._age_s() >= MAX_NODE_AGE_S:
            return False
        since = self._failing_since
        return since is None or anyio.current_time() - since < STALE_AFTER_S

    def replace_all(self, objects: Sequence[PlatformObject], *, as_of: int) -> None:
        """Replace all objects by a complete list; earlier changes are no longer known."""
        self._objects = {found.name: found for found in objects}
        self._changes.clear()
        self._history_from = as_of
        self._note_answer(as_of)

    def apply_changes(self, changes: Sequence[ObjectChange], *, as_of: int) -> None:
        """Apply changes in order."""
        for change in changes:
            self._apply_change(change, as_of)
        self._note_answer(as_of)

    def note_failure(self) -> None:
        """Record that a call to the store failed."""
        now = anyio.current_time()
        self._last_failure_at = now
        if self._failing_since is None:
            self._failing_since = now
        self._notify_waiters()

    def announce(self) -> None:
        """Answer the requests that wait, though nothing has changed in the store."""
        self._announcements += 1
        self._notify_waiters()

    async def answer(self, request: AskMirror) -> Mirrored | Failure:
        """Return the changes since a revision, waiting until there are any."""
        started_at = anyio.current_time()
        announcements = self._announcements
        with anyio.move_on_after(request.wait_s):
            while (
                self.is_current
                and not self._has_update(request)
                and self._announcements == announcements
            ):
                with anyio.move_on_after(max(MIN_WAIT_S, MAX_NODE_AGE_S - self._age_s())):
                    await self._updated.wait()
        full_list = request.full_list or request.known_revision < self._history_from
        if not self.is_current or (full_list and self._as_of < request.known_revision):
            detail = (
                f"{self.kind}: known as of {self._as_of}, {self._age_s():.1f} s ago, "
                f"requested as of {request.known_revision}"
            )
            return Failure(ErrorKind.NOT_CURRENT, detail)
        objects = self._all_objects() if full_list else self._changes_since(request.known_revision)
        return Mirrored(
            full_list,
            tuple(objects),
            self._as_of,
            self._since_failure_s(),
            age_s=self._age_s(),
            waited_s=anyio.current_time() - started_at,
        )

    def _has_update(self, request: AskMirror) -> bool:
        if request.full_list:
            return self._as_of >= request.known_revision
        if request.known_revision < self._history_from:
            return True
        return bool(self._changes) and self._changes[-1].as_of > request.known_revision

    def _all_objects(self) -> Iterable[MirroredObject]:
        return (_to_mirrored(found, removed=False) for found in self._objects.values())

    def _changes_since(self, revision: int) -> Iterable[MirroredObject]:
        return (
            _to_mirrored(recorded.change.object, removed=recorded.change.removed)
            for recorded in self._changes
            if recorded.as_of > revision
        )

    def _apply_change(self, change: ObjectChange, as_of: int) -> None:
        if len(self._changes) == MAX_HISTORY_CHANGES:
            self._history_from = self._changes[0].as_of
        self._changes.append(_Change(change, as_of))
        if change.removed:
            self._objects.pop(change.object.name, None)
        else:
            self._objects[change.object.name] = change.object

    def _note_answer(self, as_of: int) -> None:
        self._as_of = as_of
        self._failing_since = None
        self._notify_waiters()

    def _age_s(self) -> float:
        return anyio.current_time() - self._source.confirmed_at(self.kind)

    def _since_failure_s(self) -> float:
        return (
            -1.0 if self._last_failure_at is None else anyio.current_time() - self._last_failure_at
        )

    def _notify_waiters(self) -> None:
        self._updated.set()
        self._updated = anyio.Event()


@final
class Mirror:
    """Serves several kinds of objects to gateways.

    :param source: where the node reads the objects.
    :param shares: the gateways' shares of the traffic.
    :param crashes: the requests that crash replicas, of which gateways are told.
    :param relays: the gateways that take requests of others.
    :param ledger_epoch: returns the epoch to report with each answer.
    :param usage: the requests of the customers; ``None`` if the node doesn't count them.
    :param node: the name of this node.
    """

    def __init__(
        self,
        kinds: Iterable[str],
        source: ConfirmingSource,
        shares: TrafficShares,
        crashes: CrashTable,
        relays: RelayTable,
        *,
        ledger_epoch: Callable[[], int] = lambda: 0,
        usage: CustomerUsage | None = None,
        node: str = "",
    ) -> None:
        self._usage = usage
        self._node = node
        self._shares = shares
        self._crashes = crashes
        self._relays = relays
        self._ledger_epoch = ledger_epoch
        self.kinds = {kind: MirroredKind(kind, source) for kind in kinds}

    def register_handlers(self, server: PeerServer) -> None:
        """Register the handler of the gateways' requests."""
        server.handle(AskMirror, self._ask)

    def announce_use(self) -> None:
        """Tell the gateways at once that the use of a customer has changed much."""
        for mirrored in self.kinds.values():
            mirrored.announce()

    async def _ask(self, request: AskMirror, reply: Reply) -> None:
        mirrored = self.kinds.get(request.kind)
        if mirrored is None:
            detail = f"kind {request.kind!r} is not mirrored here, only {sorted(self.kinds)}"
            await reply.fail(Failure(ErrorKind.MALFORMED, detail))
            return
        if request.gateway:
            self._shares.record_gateway(request.gateway, request.demand_per_s)
            offer = RelayGateway(request.gateway, request.relay_address, request.data_centre)
            self._relays.record(offer, now=anyio.current_time())
            if self._usage is not None and request.reports_usage:
                self._usage.record_gateway(request.gateway, request.usage, now=anyio.current_time())
        answer = await mirrored.answer(request)
        if isinstance(answer, Failure):
            await reply.fail(answer)
        else:
            answer = answer._replace(
                ledger_epoch=self._ledger_epoch(),
                traffic_share=self._shares.share_of(request.gateway),
                crashes=self._crashes_for(request),
            )
            await reply.send(self._with_usage(answer, request))

    def _with_usage(self, answer: Mirrored, request: AskMirror) -> Mirrored:
        """Add what the gateway needs to apply quotas."""
        if self._usage is None or not request.reports_usage:
            return answer
        now = anyio.current_time()
        return answer._replace(
            customers=self._usage.high_use(now=now),
            gateways=self._usage.known_gateways(now=now),
            quota_owners=(self._node, *self._usage.serving_members),
        )

    def _crashes_for(self, request: AskMirror) -> tuple[CrashEvidence, ...]:
        now = anyio.current_time()
        if not request.gateway:
            return ()
        if request.full_list:
            return self._crashes.all_blocked(now=now)
        return self._crashes.news(now=now)


def _to_mirrored(found: PlatformObject, *, removed: bool) -> MirroredObject:
    return MirroredObject(*found, removed)


def to_object_change(found: MirroredObject) -> ObjectChange:
    """Return the object change that a mirrored object stands for."""
    *fields, removed = found
    return ObjectChange(PlatformObject(*fields), removed)
