"""Second copies of partitions: they apply entries from owners, and refuse them once sealed."""

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
PAUSE_THRESHOLD_S = 0.5

log = structlog.get_logger()


@dataclass(eq=False)
class Replica:
    """One second copy.

    :param owner: node that owns the partition at this epoch.
    :param boot: boot identity of the owner's process.
    :param last_contact_s: when the owner last sent something for this copy, on this node's clock.
    :param owner_confirmed_s: a lower bound, on this node's clock, of the time up to which the
        owner has confirmation of the pair; decides whether the owner may have entered solo mode.
    :param sealed: whether entries of this epoch are refused because a takeover is in progress.
    :param link: the stream that this copy is attached to; messages on older streams are refused.
    """

    number: int
    epoch: int
    owner: str
    boot: str
    copy: JournalCopy
    last_contact_s: float
    owner_confirmed_s: float
    sealed: bool = False
    link: Reply | None = None


class _OwnerStream:
    """A stream from an owner, with the attached copies and the heartbeats it has confirmed.

    A heartbeat that confirms an earlier one was sent after this node answered the earlier one.
    Once the owner confirms the later heartbeat too, it has confirmation of the pair at least up to
    the time of that answer.
    """

    def __init__(self, request: LinkOpened, reply: Reply) -> None:
        self.request = request
        self.reply = reply
        self.attached: dict[int, Replica] = {}
        self._answered_s: dict[int, float] = {}
        self._sent_after_s: dict[int, float] = {}

    def record_beat(self, beat: Beat, now: float) -> float:
        """Return a lower bound of the time up to which the owner has confirmation of the pair."""
        never_s = float("-inf")
        self._answered_s[beat.number] = now
        self._sent_after_s[beat.number] = self._answered_s.get(beat.confirmed_number, never_s)
        confirmed_s = self._sent_after_s.get(beat.confirmed_number, never_s)
        for stale in [number for number in self._answered_s if number < beat.confirmed_number]:
            del self._answered_s[stale]
            del self._sent_after_s[stale]
        return confirmed_s


@final
class ReplicaServer:
    """Serves all second copies on this node.

    :param on_owner_silent: called for a copy whose owner was silent for ``takeover_after_s``.
    :param owned_epoch: returns the epoch at which this node owns a partition, 0 if it does not.
    """

    def __init__(
        self,
        context: PartitionContext,
        server: PeerServer,
        *,
        on_owner_silent: Callable[[Replica], None],
        owned_epoch: Callable[[int], int],
    ) -> None:
        self.replicas: dict[int, Replica] = {}
        self._context = context
        self._on_owner_silent = on_owner_silent
        self._owned_epoch = owned_epoch
        self._dropped = anyio.Event()
        server.handle(LinkOpened, self._serve_link)
        server.handle(Install, self._handle_install)
        server.handle(Release, self._handle_release)

    def add_replica(self, replica: Replica) -> None:
        """Add a second copy, replacing any other of the same partition."""
        self.replicas[replica.number] = replica

    def drop(self, replica: Replica) -> None:
        """Remove a second copy."""
        if self.replicas.get(replica.number) is replica:
            del self.replicas[replica.number]
            self._dropped.set()
            self._dropped = anyio.Event()

    async def wait_empty(self) -> None:
        """Wait until this node holds no second copy."""
        while self.replicas:
            await self._dropped.wait()

    async def watch_owners(self) -> None:
        """Detect owners whose heartbeats have stopped, until cancelled.

        After a pause of this process every owner seems to have timed out. All timeouts are then
        restarted, so that a node that was paused does not take over from live owners.
        """
        while True:
            before = anyio.current_time()
            await anyio.sleep(WATCH_INTERVAL_S)
            now = anyio.current_time()
            if now - before > WATCH_INTERVAL_S + PAUSE_THRESHOLD_S:
                self._restart_timeouts(now)
            limit = now - self._context.settings.partitions.takeover_after_s
            for replica in list(self.replicas.values()):
                if replica.last_contact_s <= limit and not replica.sealed:
                    self._on_owner_silent(replica)

    def _restart_timeouts(self, now: float) -> None:
        for replica in self.replicas.values():
            replica.last_contact_s = now

    async def _serve_link(self, request: LinkOpened, reply: Reply) -> None:
        stream = _OwnerStream(request, reply)
        async for item in reply:
            answer = self._handle(item, stream)
            if answer is not None:
                await reply.send(answer)

    def _handle(self, item: Any, stream: _OwnerStream) -> tuple[Any, ...] | None:
        match item:
            case Append():
                return self._handle_append(item, stream.reply)
            case Beat():
                return self._handle_beat(item, stream)
            case Attach():
                return self._handle_attach(item, stream)
            case Detach():
                stream.attached.pop(item.partition, None)
                return None
        log.warning("unexpected_message", message=type(item).__name__, peer=stream.reply.peer)
        return None

    def _handle_attach(self, item: Attach, stream: _OwnerStream) -> Attached | Refused:
        replica = self.replicas.get(item.partition)
        if replica is None or replica.sealed or replica.epoch != item.epoch:
            return Refused(item.partition, item.epoch)
        if (replica.owner, replica.boot) != (stream.request.node, stream.request.boot):
            return Refused(item.partition, item.epoch)
        replica.link = stream.reply
        replica.last_contact_s = replica.owner_confirmed_s = anyio.current_time()
        stream.attached[item.partition] = replica
        return Attached(item.partition, item.epoch, replica.copy.sequence, replica.copy.digest)

    def _handle_append(self, item: Append, reply: Reply) -> Acked | Refused:
        replica = self.replicas.get(item.partition)
        if replica is None or not _accepts_from(replica, item.epoch, reply):
            return Refused(item.partition, item.epoch)
        copy = replica.copy
        follows = item.first_sequence == copy.sequence + 1
        detail = f"partition {item.partition}: entry {item.first_sequence} after {copy.sequence}"
        if not self._context.promises.check(Promise.HISTORY, follows, detail):
            return Refused(item.partition, item.epoch)
        for packed in item.entries:
            copy.apply_packed(packed)
        copy.tail.mark_flushed(item.flushed)
        replica.last_contact_s = anyio.current_time()
        return Acked(item.partition, item.epoch, copy.sequence, copy.digest, item.message_number)

    def _handle_beat(self, item: Beat, stream: _OwnerStream) -> BeatAck:
        now = anyio.current_time()
        owner_confirmed_s = stream.record_beat(item, now)
        refused: list[tuple[int, int]] = []
        for number, replica in list(stream.attached.items()):
            is_current = self.replicas.get(number) is replica
            if is_current and _accepts_from(replica, replica.epoch, stream.reply):
                replica.last_contact_s = now
                replica.owner_confirmed_s = max(replica.owner_confirmed_s, owner_confirmed_s)
                continue
            del stream.attached[number]
            refused.append((number, replica.epoch))
        return BeatAck(item.number, tuple(refused))

    async def _handle_install(self, request: Install, reply: Reply) -> None:
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
        known_epoch = max(
            self._owned_epoch(request.partition), 0 if present is None else present.epoch
        )
        if known_epoch >= request.epoch or (present is not None and present.sealed):
            detail = f"partition {request.partition}: this node already has epoch {known_epoch}"
            await reply.fail(Failure(ErrorKind.OWNER_UNAVAILABLE, detail))
            return
        copy = JournalCopy.unpack(bytes(data), sequence=request.sequence, digest=request.digest)
        digest_matches = state_digest(pack_state(copy.state)) == request.state_digest
        detail = f"partition {request.partition}: snapshot does not match its digest"
        self._context.promises.require(Promise.HISTORY, digest_matches, detail)
        now = anyio.current_time()
        replica = Replica(
            request.partition, request.epoch, request.owner, request.boot, copy, now, now
        )
        self.add_replica(replica)
        await reply.send(Installed(request.partition, request.epoch, self._context.boot))

    async def _handle_release(self, request: Release, reply: Reply) -> None:
        replica = self.replicas.get(request.partition)
        if replica is not None and replica.epoch < request.epoch and not replica.sealed:
            self.drop(replica)


def _is_prepared(replica: Replica, request: Install) -> bool:
    """Whether this copy was installed for the same epoch and owner and is still unused."""
    same = (replica.epoch, replica.owner, replica.boot) == (
        request.epoch,
        request.owner,
        request.boot,
    )
    return same and replica.link is None and not replica.sealed


def _accepts_from(replica: Replica, epoch: int, link: Reply) -> bool:
    return replica.epoch == epoch and not replica.sealed and replica.link is link
