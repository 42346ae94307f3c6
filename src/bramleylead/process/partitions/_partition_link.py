"""The stream from an owner to a peer that holds second copies for it."""

from __future__ import annotations

from typing import Any
from typing import final

import anyio
import structlog
from result import Err

from bramleylead.connection._rpc import PeerCall
from bramleylead.process.partitions._partition import OwnedPartition
from bramleylead.process.partitions._partition_context import PartitionContext
from bramleylead.process.partitions._partition_messages import Acked
from bramleylead.process.partitions._partition_messages import Attach
from bramleylead.process.partitions._partition_messages import Attached
from bramleylead.process.partitions._partition_messages import Beat
from bramleylead.process.partitions._partition_messages import BeatAck
from bramleylead.process.partitions._partition_messages import Detach
from bramleylead.process.partitions._partition_messages import LinkOpened
from bramleylead.process.partitions._partition_messages import Refused
from bramleylead.process.partitions._pending_append import ReplicationMode

RECONNECT_DELAY_S = 0.1
MAX_UNCONFIRMED_BEATS = 64

log = structlog.get_logger()


@final
class PartitionLink:
    """Carries appends, heartbeats and acknowledgements of all partitions with this peer.

    Appends that arrive while the sender is busy are batched. The sender does not wait for an
    acknowledgement before it sends the next append.
    """

    def __init__(self, context: PartitionContext, address: str) -> None:
        self.address = address
        self.scope = anyio.CancelScope()
        self._context = context
        self._partitions: dict[int, OwnedPartition] = {}
        self._attached: set[int] = set()
        self._attach_sent_s: dict[int, float] = {}
        self._ready: set[int] = set()
        self._to_detach: set[int] = set()
        self._wake = anyio.Event()
        self._beat_sent_s: dict[int, float] = {}
        self._last_beat_number = 0
        self._confirmed_beat_number = 0
        self._up = False

    @property
    def partitions(self) -> dict[int, OwnedPartition]:
        """The partitions whose second copy is at this address."""
        return self._partitions

    @property
    def up(self) -> bool:
        """Whether the stream is open."""
        return self._up

    def add(self, partition: OwnedPartition) -> None:
        """Add a partition to this link."""
        self._partitions[partition.number] = partition
        self._attached.discard(partition.number)
        self.wake(partition)

    def remove(self, number: int) -> None:
        """Remove a partition and detach it at the peer."""
        self._partitions.pop(number, None)
        self._attached.discard(number)
        self._attach_sent_s.pop(number, None)
        self._to_detach.add(number)
        self._wake.set()

    def wake(self, partition: OwnedPartition) -> None:
        """Wake the sender for a partition that has appends to send."""
        self._ready.add(partition.number)
        self._wake.set()

    async def run(self) -> None:
        """Keep the stream open, reconnecting after failures, until cancelled."""
        with self.scope:
            while True:
                await self._run_once()
                await anyio.sleep(RECONNECT_DELAY_S)

    async def _run_once(self) -> None:
        context = self._context
        opening = LinkOpened(context.settings.node, context.boot)
        async with context.client.stream(self.address, opening) as opened:
            if isinstance(opened, Err):
                return
            self._attached.clear()
            self._attach_sent_s.clear()
            self._beat_sent_s.clear()
            self._confirmed_beat_number = 0
            self._up = True
            try:
                await self._run_stream(opened.ok_value)
            finally:
                self._up = False

    async def _run_stream(self, call: PeerCall) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_ready, call)
            tasks.start_soon(self._send_beats, call)
            async for item in call:
                self._handle(item)
            tasks.cancel_scope.cancel()

    async def _send_ready(self, call: PeerCall) -> None:
        self._ready.update(self._partitions)
        self._to_detach.clear()
        while True:
            while self._to_detach:
                await call.send(Detach(self._to_detach.pop()))
            for number in sorted(self._ready):
                await self._send_partition(call, number)
            if not self._ready and not self._to_detach:
                await self._wake.wait()
            self._wake = anyio.Event()

    async def _send_partition(self, call: PeerCall, number: int) -> None:
        self._ready.discard(number)
        partition = self._partitions.get(number)
        if partition is None:
            return
        if number not in self._attached:
            await self._attach(call, partition)
            return
        for batch in partition.batch_unsent():
            await call.send(batch)

    async def _attach(self, call: PeerCall, partition: OwnedPartition) -> None:
        if partition.number in self._attach_sent_s:
            return
        self._attach_sent_s[partition.number] = anyio.current_time()
        await call.send(Attach(partition.number, partition.epoch))

    async def _send_beats(self, call: PeerCall) -> None:
        while True:
            self._last_beat_number += 1
            self._beat_sent_s[self._last_beat_number] = anyio.current_time()
            self._beat_sent_s.pop(self._last_beat_number - MAX_UNCONFIRMED_BEATS, None)
            await call.send(Beat(self._last_beat_number, self._confirmed_beat_number))
            await anyio.sleep(self._context.settings.partitions.heartbeat_s)
            self._retry_attach()

    def break_overdue(self) -> None:
        """Break the pair of every partition whose second copy has timed out."""
        now = anyio.current_time()
        for partition in list(self._partitions.values()):
            if partition.is_overdue(now):
                partition.break_pair(f"confirmation from {self.address} timed out")

    def _retry_attach(self) -> None:
        """Attach partitions without a pair again, since the second copy may match by now."""
        for number, partition in self._partitions.items():
            if partition.mode in (ReplicationMode.REPAIRING, ReplicationMode.SOLO):
                self._attached.discard(number)
                self._attach_sent_s.pop(number, None)
                self._ready.add(number)
        self._wake.set()

    def _handle(self, item: Any) -> None:
        match item:
            case Acked():
                if item.partition in self._attached:
                    partition = self._partitions[item.partition]
                    partition.handle_ack(
                        item.epoch, item.sequence, item.digest, item.message_number
                    )
            case BeatAck():
                self._handle_beat_ack(item)
            case Attached():
                self._handle_attached(item)
            case Refused():
                self._handle_refused(item.partition, item.epoch)
            case _:
                log.warning("unexpected_message", message=type(item).__name__, peer=self.address)

    def _handle_beat_ack(self, item: BeatAck) -> None:
        sent_s = self._beat_sent_s.pop(item.number, None)
        if sent_s is None:
            return
        self._confirmed_beat_number = item.number
        for number, epoch in item.refused:
            self._handle_refused(number, epoch)
        for number in self._attached:
            partition = self._partitions[number]
            partition.record_confirmation(partition.epoch, sent_s)

    def _handle_attached(self, item: Attached) -> None:
        partition = self._partitions.get(item.partition)
        sent_s = self._attach_sent_s.pop(item.partition, None)
        if partition is None or sent_s is None:
            return
        if partition.resume(item.epoch, item.sequence, item.digest, sent_s):
            self._attached.add(item.partition)
            self.wake(partition)
        elif item.epoch == partition.epoch:
            partition.break_pair(f"the second copy at {self.address} does not match the journal")

    def _handle_refused(self, number: int, epoch: int) -> None:
        self._attached.discard(number)
        self._attach_sent_s.pop(number, None)
        partition = self._partitions.get(number)
        if partition is not None and partition.epoch == epoch:
            partition.break_pair(f"refused by {self.address}")
