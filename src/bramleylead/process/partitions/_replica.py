"""Second copies of partitions: takes entries from owners, and refuses them once sealed."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from typing import final

import anyio
import structlog

from bramleylead.connection import PeerServer
from bramleylead.connection import Reply
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.process.journal._journal_copy import JournalCopy
from bramleylead.process.journal._state_codec import pack_state
from bramleylead.process.journal._state_codec import state_digest
from bramleylead.process.partitions._partition_context import PartitionContext
from bramleylead.process.partitions._partition_messages import Acked
from bramleylead.process.partitions._partition_messages import Append
from bramleylead.process.partitions._partition_messages import Attach
from bramleylead.process.partitions._partition_messages import Attached
from bramleylead.process.partitions._partition_messages import Beat
from bramleylead.process.partitions._partition_messages import BeatAck
from bramleylead.process.partitions._partition_messages import Detach
from bramleylead.process.partitions._partition_messages import Install
from bramleylead.process.partitions._partition_messages import Installed
from bramleylead.process.partitions._partition_messages import LinkOpened
from bramleylead.process.partitions._partition_messages import Refused
from bramleylead.process.partitions._partition_messages import Release
from bramleylead.process.partitions._partition_messages import SnapshotChunk
from bramleylead.promises import Promise

WATCH_INTERVAL_S = 0.25
OVERSLEPT_S = 0.5

log = structlog.get_logger()


@dataclass(eq=False)
class Replica:
    """One second copy.

    :param owner: name and ``boot`` of the process that owns the partition at this epoch.
    :param sealed: whether the epoch's entries are refused because a takeover is under way.
    :param heard_s: when the owner last vouched for it, on this node's clock.
    :param sure_s: a time before which the owner certainly took this pair for whole.
    :param link: the stream that it is attached to; older streams are refused.
    """

    number: int
    epoch: int
    owner: str
    boot: str
    copy: JournalCopy
    heard_s: float
    sure_s: float
    sealed: bool = False
    link: Reply | None = None


class _LinkView:
    """One stream from an owner: what is attached to it, and what its heartbeats prove.

    A heartbeat that confirms an earlier one was sent after this node had answered that one. Once
    the owner confirms the later heartbeat too, it has counted the pair as whole since then.
    """

    def __init__(self, request: LinkOpened, reply: Reply) -> None:
        self.request = request
        self.reply = reply
        self.attached: dict[int, Replica] = {}
        self._answered_s: dict[int, float] = {}
        self._sent_after_s: dict[int, float] = {}

    def take_beat(self, beat: Beat, now: float) -> float:
        """Return a time before which the owner certainly took the pair for whole."""
        never_s = float("-inf")
        self._answered_s[beat.number] = now
        self._sent_after_s[beat.number] = self._answered_s.get(beat.confirmed, never_s)
        proven = self._sent_after_s.get(beat.confirmed, never_s)
        for old in [number for number in self._answered_s if number < beat.confirmed]:
            del self._answered_s[old]
            del self._sent_after_s[old]
        return proven


@final
class ReplicaKeeper:
    """All second copies on this node.

    :param on_silent: called for a copy whose owner was silent for ``takeover_after_s``.
    :param owns: epoch at which this node itself owns a partition, 0 if it does not.
    """

    def __init__(
        self,
        context: PartitionContext,
        server: PeerServer,
        *,
        on_silent: Callable[[Replica], None],
        owns: Callable[[int], int],
    ) -> None:
        self.replicas: dict[int, Replica] = {}
        self._context = context
        self._on_silent = on_silent
        self._owns = owns
        self._dropped = anyio.Event()
        server.handle(LinkOpened, self._serve_link)
        server.handle(Install, self._install)
        server.handle(Release, self._release)

    def keep(self, replica: Replica) -> None:
        """Hold a second copy from now on."""
        self.replicas[replica.number] = replica

    def drop(self, replica: Replica) -> None:
        """Give up a second copy."""
        if self.replicas.get(replica.number) is replica:
            del self.replicas[replica.number]
            self._dropped.set()
            self._dropped = anyio.Event()

    async def wait_empty(self) -> None:
        """Wait until this node keeps no second copy."""
        while self.replicas:
            await self._dropped.wait()

    async def watch_owners(self) -> None:
        """Find owners that fell silent, until cancelled.

        After a pause of this process every owner seems silent: each is then given the full time
        again, so that a paused node does not take over from live ones.
        """
        while True:
            before = anyio.current_time()
            await anyio.sleep(WATCH_INTERVAL_S)
            now = anyio.current_time()
            if now - before > WATCH_INTERVAL_S + OVERSLEPT_S:
                self._grant_time(now)
            limit = now - self._context.settings.partitions.takeover_after_s
            for replica in list(self.replicas.values()):
                if replica.heard_s <= limit and not replica.sealed:
                    self._on_silent(replica)

    def _grant_time(self, now: float) -> None:
        for replica in self.replicas.values():
            replica.heard_s = now

    async def _serve_link(self, request: LinkOpened, reply: Reply) -> None:
        view = _LinkView(request, reply)
        async for item in reply:
            answer = self._answer(item, view)
            if answer is not None:
                await reply.send(answer)

    def _answer(self, item: Any, view: _LinkView) -> tuple[Any, ...] | None:
        match item:
            case Append():
                return self._append(item, view.reply)
            case Beat():
                return self._beat(item, view)
            case Attach():
                return self._attach(item, view)
            case Detach():
                view.attached.pop(item.partition, None)
                return None
        log.warning("unexpected_message", message=type(item).__name__, peer=view.reply.peer)
        return None

    def _attach(self, item: Attach, view: _LinkView) -> Attached | Refused:
        replica = self.replicas.get(item.partition)
        if replica is None or replica.sealed or replica.epoch != item.epoch:
            return Refused(item.partition, item.epoch)
        if (replica.owner, replica.boot) != (view.request.node, view.request.boot):
            return Refused(item.partition, item.epoch)
        replica.link = view.reply
        replica.heard_s = replica.sure_s = anyio.current_time()
        view.attached[item.partition] = replica
        return Attached(item.partition, item.epoch, replica.copy.sequence, replica.copy.digest)

    def _append(self, item: Append, reply: Reply) -> Acked | Refused:
        replica = self.replicas.get(item.partition)
        if replica is None or not _vouches(replica, item.epoch, reply):
            return Refused(item.partition, item.epoch)
        copy = replica.copy
        follows = item.first == copy.sequence + 1
        detail = f"partition {item.partition}: entry {item.first} after {copy.sequence}"
        if not self._context.promises.check(Promise.HISTORY, follows, detail):
            return Refused(item.partition, item.epoch)
        for packed in item.entries:
            copy.apply_packed(packed)
        copy.tail.mark_flushed(item.flushed)
        replica.heard_s = anyio.current_time()
        return Acked(item.partition, item.epoch, copy.sequence, copy.digest, item.mark)

    def _beat(self, item: Beat, view: _LinkView) -> BeatAck:
        now = anyio.current_time()
        sure_s = view.take_beat(item, now)
        refused: list[tuple[int, int]] = []
        for number, replica in list(view.attached.items()):
            known = self.replicas.get(number) is replica
            if known and _vouches(replica, replica.epoch, view.reply):
                replica.heard_s = now
                replica.sure_s = max(replica.sure_s, sure_s)
                continue
            del view.attached[number]
            refused.append((number, replica.epoch))
        return BeatAck(item.number, tuple(refused))

    async def _install(self, request: Install, reply: Reply) -> None:
        data = bytearray()
        for _ in range(request.chunks):
            chunk: SnapshotChunk = await reply.receive()
            data += chunk.data
        present = self.replicas.get(request.partition)
        if present is not None and _is_prepared(present, request):
            if present.copy.sequence == request.sequence and present.copy.digest == request.digest:
                await reply.send(Installed(request.partition, request.epoch, self._context.boot))
                return
            if present.copy.sequence < request.sequence:
                self.drop(present)
                present = None
        known = max(self._owns(request.partition), 0 if present is None else present.epoch)
        if known >= request.epoch or (present is not None and present.sealed):
            detail = f"partition {request.partition}: epoch {known} is known here"
            await reply.fail(Failure(ErrorKind.OWNER_UNAVAILABLE, detail))
            return
        copy = JournalCopy.unpack(bytes(data), sequence=request.sequence, digest=request.digest)
        equal = state_digest(pack_state(copy.state)) == request.state_digest
        detail = f"partition {request.partition}: snapshot differs from its digest"
        self._context.promises.require(Promise.HISTORY, equal, detail)
        now = anyio.current_time()
        replica = Replica(
            request.partition, request.epoch, request.owner, request.boot, copy, now, now
        )
        self.keep(replica)
        await reply.send(Installed(request.partition, request.epoch, self._context.boot))

    async def _release(self, request: Release, reply: Reply) -> None:
        replica = self.replicas.get(request.partition)
        if replica is not None and replica.epoch < request.epoch and not replica.sealed:
            self.drop(replica)


def _is_prepared(replica: Replica, request: Install) -> bool:
    """Whether a copy was installed for this epoch before, and never used."""
    same = (replica.epoch, replica.owner, replica.boot) == (
        request.epoch,
        request.owner,
        request.boot,
    )
    return same and replica.link is None and not replica.sealed


def _vouches(replica: Replica, epoch: int, link: Reply) -> bool:
    return replica.epoch == epoch and not replica.sealed and replica.link is link
