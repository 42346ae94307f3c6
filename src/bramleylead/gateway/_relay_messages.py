"""Messages between a gateway that can't reach the replicas and one that sends requests for it."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from bramleylead.connection import message
from bramleylead.platform._types import NO_SOFTWARE
from bramleylead.platform._types import Software


class Reach(StrEnum):
    """What an attempt to connect to a replica showed."""

    REACHED = "reached"
    REFUSED = "refused"
    SILENT = "silent"


class RelayRefusal(StrEnum):
    """Why a gateway has not sent a request for another one."""

    NOT_LISTED = "the replica is leaving or not listed here"
    UNREACHED = "the replica can't be reached from here either"
    CUT_OFF = "no replica can be reached from here"
    STOPPING = "the gateway is stopping"
    BUSY = "the gateway carries as many requests of others as it may"


@message(189)
class RelayRequest(NamedTuple):
    """Asks a gateway to send a request to a replica.

    Answered by :class:`RelayRefused`, or by :class:`RelayedHead`, :class:`RelayedChunk` and
    :class:`RelayedEnd` as the response arrives; :class:`RelayBroken` ends an incomplete one.
    Cancelling the call closes the connection to the replica.

    :param replica: its name; the gateway asked looks up the address itself.
    :param idempotent: whether the request may be sent to another replica if this one falls silent.
    :param timeout_s: when to give the request up; the gateway that asks may be cut off meanwhile.
    :param software: what the replica must run; one of the two gateways may know an older list.
        Gateways of former releases don't say.
    """

    replica: str
    idempotent: bool
    timeout_s: float
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    request_id: str
    body: bytes
    software: Software = NO_SOFTWARE


@message(190)
class RelayedHead(NamedTuple):
    """Status and headers of the replica's response; names are in lower case."""

    status: int
    headers: tuple[tuple[str, str], ...]


@message(191)
class RelayedChunk(NamedTuple):
    """The next part of the response's body."""

    data: bytes


@message(192)
class RelayedEnd(NamedTuple):
    """The response was received completely."""


@message(193)
class RelayRefused(NamedTuple):
    """No byte of the request was sent to the replica."""

    reason: RelayRefusal


@message(194)
class RelayBroken(NamedTuple):
    """The response ended before it was complete; the request may have run."""

    detail: str
    connection_lost: bool
    path_lost: bool


@message(195)
class CheckReplica(NamedTuple):
    """Asks a gateway to open a connection to a replica; answered by :class:`ReplicaChecked`."""

    replica: str


@message(196)
class ReplicaChecked(NamedTuple):
    """What the attempt showed; ``refusal`` is set if none was made.

    :param reach: meaningful without a refusal.
    """

    reach: Reach
    refusal: RelayRefusal | None = None
