"""Messages between the owner of partitions and the nodes that keep their second copies."""

from __future__ import annotations

from typing import NamedTuple

from bramleylead.connection import message


@message(100)
class LinkOpened(NamedTuple):
    """Opens the one stream from an owner to a node that keeps second copies for it."""

    node: str
    boot: str


@message(101)
class Attach(NamedTuple):
    """Names a partition whose second copy the receiver should have at this epoch."""

    partition: int
    epoch: int


@message(116)
class Detach(NamedTuple):
    """The sender no longer counts on the receiver's copy: heartbeats stop vouching for it."""

    partition: int


@message(102)
class Attached(NamedTuple):
    """The receiver has it, up to this sequence number and journal digest."""

    partition: int
    epoch: int
    sequence: int
    digest: int


@message(103)
class Append(NamedTuple):
    """Journal entries in order, the first one with sequence number ``first``.

    :param flushed: entries up to here are in the store.
    :param mark: number of this message, echoed by the acknowledgement.
    """

    partition: int
    epoch: int
    first: int
    flushed: int
    mark: int
    entries: tuple[bytes, ...]


@message(104)
class Acked(NamedTuple):
    """The second copy holds every entry up to this sequence number and message."""

    partition: int
    epoch: int
    sequence: int
    digest: int
    mark: int


@message(105)
class Refused(NamedTuple):
    """The receiver is no second copy at this epoch, or has sealed it."""

    partition: int
    epoch: int


@message(106)
class Beat(NamedTuple):
    """Heartbeat of a link: one a peer, whatever the number of partitions on it.

    :param confirmed: number of the last heartbeat whose confirmation arrived.
    """

    number: int
    confirmed: int


@message(107)
class BeatAck(NamedTuple):
    """Confirms every partition attached on the link, but for those named here."""

    number: int
    refused: tuple[tuple[int, int], ...]


@message(108)
class Install(NamedTuple):
    """Begins a snapshot for a new second copy; ``chunks`` messages follow.

    :param state_digest: digest of the encoded state, checked by the receiver.
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
    """The receiver, a process of this boot, holds the snapshot."""

    partition: int
    epoch: int
    boot: str


@message(111)
class HandedOver(NamedTuple):
    """The receiver owns a partition from this epoch on; the sender is its second copy.

    :param record: the partition object as JSON, and the store's version of it.
    :param sequence: where the journal ended; the receiver must hold all of it.
    :param leaving: whether the sender stops soon and must be replaced.
    """

    partition: int
    record: bytes
    version: int
    sequence: int
    digest: int
    leaving: bool


@message(112)
class AskOwner(NamedTuple):
    """Ask what the receiver knows of a partition's owner. Answered by :class:`OwnerIs`."""

    partition: int


@message(113)
class OwnerIs(NamedTuple):
    """What a node knows of a partition; ``serving`` when it owns the partition itself."""

    partition: int
    epoch: int
    owner: str
    address: str
    serving: bool
    holds_copy: bool


@message(114)
class Release(NamedTuple):
    """The receiver's copies below this epoch are no longer needed."""

    partition: int
    epoch: int


@message(115)
class Assign(NamedTuple):
    """Ask a node to claim partitions that have no owner, or to recover ones that lost both copies.

    Only the store decides: the receiver checks each of them before it acts.
    """

    partitions: tuple[int, ...]
