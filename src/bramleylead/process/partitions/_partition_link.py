"""The owner's one stream to a peer that keeps second copies for it."""

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
from bramleylead.process.partitions._pending import Mode

RECONNECT_S = 0.1
KEPT_BEATS = 64

log = structlog.get_logger()


@final
class PartitionLink:
    """Appends, heartbeats and acknowledgements of all partitions that share a second copy.

    Appends that gather between two turns of the sender travel together; nothing waits for an
    acknowledgement before the next append is sent.
    """

    def __init__(self, context: PartitionContext, address: str) -> None:
        self.address = address
        self.scope = anyio.CancelScope()
        self._context = context
        self._partitions: dict[int, OwnedPartition] = {}
        self._attached: set[int] = set()
        self._attach_sent: dict[int, float] = {}
        self._ready: set[int] = set()
        self._to_detach: set[int] = set()
        self._wake = anyio.Event()
        self._beats: dict[int, float] = {}
        self._last_beat = 0
        self._confirmed_beat = 0
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
        """Carry a partition on this link."""
        self._partitions[partition.number] = partition
        self._attached.discard(partition.number)
        self.wake(partition)

    def remove(self, number: int) -> None:
        """Stop carrying a partition."""
        self._partitions.pop(number, None)
        self._attached.discard(number)
        self._attach_sent.pop(number, None)
        self._to_detach.add(number)
        self._wake.set()

    def wake(self, partition: OwnedPartition) -> None:
        """Take in that a partition has something to send."""
        self._ready.add(partition.number)
        self._wake.set()

    async def run(self) -> None:
        """Keep the stream open until cancelled."""
        with self.scope:
            while True:
                await self._run_once()
                await anyio.sleep(RECONNECT_S)

    async def _run_once(self) -> None:
        context = self._context
        opening = LinkOpened(context.settings.node, context.boot)
        async with context.client.stream(self.address, opening) as opened:
            if isinstance(opened, Err):
                return
            self._attached.clear()
            self._attach_sent.clear()
            self._beats.clear()
            self._confirmed_beat = 0
            self._up = True
            try:
                await self._serve(opened.ok_value)
            finally:
                self._up = False

    async def _serve(self, call: PeerCall) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_ready, call)
            tasks.start_soon(self._send_beats, call)
            async for item in call:
                self._take(item)
            tasks.cancel_scope.cancel()

    async def _send_ready(self, call: PeerCall) -> None:
        self._ready.update(self._partitions)
        self._to_detach.clear()
        while True:
            while self._to_detach:
                await call.send(Detach(self._to_detach.pop()))
            for number in sorted(self._ready):
                await self._send_one(call, number)
            if not self._ready and not self._to_detach:
                await self._wake.wait()
            self._wake = anyio.Event()

    async def _send_one(self, call: PeerCall, number: int) -> None:
        self._ready.discard(number)
        partition = self._partitions.get(number)
        if partition is None:
            return
        if number not in self._attached:
            await self._attach(call, partition)
            return
        for batch in partition.take_unsent():
            await call.send(batch)

    async def _attach(self, call: PeerCall, partition: OwnedPartition) -> None:
        if partition.number in self._attach_sent:
            return
        self._attach_sent[partition.number] = anyio.current_time()
        await call.send(Attach(partition.number, partition.epoch))

    async def _send_beats(self, call: PeerCall) -> None:
        while True:
            self._last_beat += 1
            self._beats[self._last_beat] = anyio.current_time()
            self._beats.pop(self._last_beat - KEPT_BEATS, None)
            await call.send(Beat(self._last_beat, self._confirmed_beat))
            await anyio.sleep(self._context.settings.partitions.heartbeat_s)
            self._retry_attaching()

    def break_overdue(self) -> None:
        """Break the pair of every partition whose second copy was silent for too long."""
        now = anyio.current_time()
        for partition in list(self._partitions.values()):
            if partition.overdue(now):
                partition.break_pair(f"no confirmation from {self.address}")

    def _retry_attaching(self) -> None:
        """Ask again whether the second copy fits, for partitions still under repair."""
        for number, partition in self._partitions.items():
            if partition.mode in (Mode.REPAIRING, Mode.SOLO):
                self._attached.discard(number)
                self._attach_sent.pop(number, None)
                self._ready.add(number)
        self._wake.set()

    def _take(self, item: Any) -> None:
        match item:
            case Acked():
                if item.partition in self._attached:
                    partition = self._partitions[item.partition]
                    partition.acked(item.epoch, item.sequence, item.digest, item.mark)
            case BeatAck():
                self._take_beat(item)
            case Attached():
                self._take_attached(item)
            case Refused():
                self._take_refused(item.partition, item.epoch)
            case _:
                log.warning("unexpected_message", message=type(item).__name__, peer=self.address)

    def _take_beat(self, item: BeatAck) -> None:
        sent = self._beats.pop(item.number, None)
        if sent is None:
            return
        self._confirmed_beat = item.number
        for number, epoch in item.refused:
            self._take_refused(number, epoch)
        for number in self._attached:
            partition = self._partitions[number]
            partition.confirmed(partition.epoch, sent)

    def _take_attached(self, item: Attached) -> None:
        partition = self._partitions.get(item.partition)
        sent = self._attach_sent.pop(item.partition, None)
        if partition is None or sent is None:
            return
        if partition.resume(item.epoch, item.sequence, item.digest, sent):
            self._attached.add(item.partition)
            self.wake(partition)
        elif item.epoch == partition.epoch:
            partition.break_pair(f"the copy at {self.address} does not fit")

    def _take_refused(self, number: int, epoch: int) -> None:
        self._attached.discard(number)
        self._attach_sent.pop(number, None)
        partition = self._partitions.get(number)
        if partition is not None and partition.epoch == epoch:
            partition.break_pair(f"refused by {self.address}")
