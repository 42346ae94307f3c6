"""Messages between partition owners and the nodes that hold the second copies."""

from __future__ import annotations

from typing import NamedTuple

from bramleylead.connection import message


@message(100)
class LinkOpened(NamedTuple):
    """Opens the stream from an owner to a node that holds second copies for it, one per peer."""

    node: str
    boot: str


@message(101)
class Attach(NamedTuple):
    """Attaches a partition whose second copy the receiver should hold at this epoch."""

    partition: int
    epoch: int


@message(116)
class Detach(NamedTuple):
    """Detaches a partition from the stream: heartbeats no longer apply to its second copy."""

    partition: int


@message(102)
class Attached(NamedTuple):
    """Answers :class:`Attach`: the second copy ends at this sequence number and journal digest."""

    partition: int
    epoch: int
    sequence: int
    digest: int


@message(103)
class Append(NamedTuple):
    """Journal entries in order, starting at ``first_sequence``.

    :param flushed: the store holds the entries up to this sequence number.
    :param message_number: number of this message; the acknowledgement repeats it.
    """

    partition: int
    epoch: int
    first_sequence: int
    flushed: int
    message_number: int
    entries: tuple[bytes, ...]


@message(104)
class Acked(NamedTuple):
    """The second copy holds every entry up to this sequence number and this message."""

    partition: int
    epoch: int
    sequence: int
    digest: int
    message_number: int


@message(105)
class Refused(NamedTuple):
    """The receiver holds no second copy at this epoch, or has sealed it for a takeover."""

    partition: int
    epoch: int


@message(106)
class Beat(NamedTuple):
    """Heartbeat of a stream, shared by all partitions attached to it.

    :param confirmed_number: number of the last heartbeat for which a :class:`BeatAck` arrived.
    """

    number: int
    confirmed_number: int


@message(107)
class BeatAck(NamedTuple):
    """Confirms all partitions attached to the stream except ``refused``.

    :param refused: partition and epoch of each refused second copy.
    """

    number: int
    refused: tuple[tuple[int, int], ...]


@message(108)
class Install(NamedTuple):
    """Starts the transfer of a snapshot to a new second copy.

    :param state_digest: digest of the encoded state, checked by the receiver.
    :param chunks: number of :class:`SnapshotChunk` messages that follow.
    """

    partition: int
    epoch: int
    owner: str
    boot: str
    sequence: int
    digest: int
    state_digest: int
    chunks: int


@message(109)
class SnapshotChunk(NamedTuple):
    """Part of a snapshot."""

    data: bytes


@message(110)
class Installed(NamedTuple):
    """Answers :class:`Install`: the process with this boot identity holds the snapshot."""

    partition: int
    epoch: int
    boot: str


@message(111)
class HandedOver(NamedTuple):
    """Tells the receiver that it now owns a partition, with the sender as its second copy.

    :param record: the partition object as JSON.
    :param version: version of the partition object in the store.
    :param sequence: last sequence number of the journal; the receiver must hold all entries.
    :param leaving: whether the sender is about to stop and must be replaced.
    """

    partition: int
    record: bytes
    version: int
    sequence: int
    digest: int
    leaving: bool


@message(112)
class AskOwner(NamedTuple):
    """Asks which owner of a partition the receiver knows; answered by :class:`OwnerIs`."""

    partition: int


@message(113)
class OwnerIs(NamedTuple):
    """Answers :class:`AskOwner`; ``serving`` if the sender owns the partition itself."""

    partition: int
    epoch: int
    owner: str
    address: str
    serving: bool
    holds_copy: bool


@message(114)
class Release(NamedTuple):
    """Tells the receiver that its second copy of a lower epoch is no longer needed."""

    partition: int
    epoch: int


@message(115)
class Assign(NamedTuple):
    """Asks a node to claim partitions without an owner, or recover those that lost both copies.

    The receiver checks each partition object in the store before it acts.
    """

    partitions: tuple[int, ...]
