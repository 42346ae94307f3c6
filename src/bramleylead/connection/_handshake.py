"""Mutual authentication with the cluster key at the start of a connection.

Both sides send a nonce and an HMAC over both nonces and both names. So the key is never on the
wire, a recorded handshake can't be replayed, and neither side's proof can be reflected to it.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from typing import Any
from typing import NamedTuple

import msgpack

from bramleylead.connection._codec import MessageError
from bramleylead.connection._codec import from_plain
from bramleylead.connection._codec import message
from bramleylead.connection._codec import to_plain
from bramleylead.connection._frames import Frame
from bramleylead.connection._frames import FrameKind
from bramleylead.connection._frames import FrameStream

PROTOCOL_VERSION = 2
MIN_PROTOCOL_VERSION = 2
NONCE_BYTES = 16
MAX_HANDSHAKE_BYTES = 4_096
"""Of one frame before the other side has shown that it has the key."""


@message(1)
class Hello(NamedTuple):
    """First message of a connection: the client's name, protocol version and nonce."""

    version: int
    node: str
    nonce: bytes


@message(4)
class Challenge(NamedTuple):
    """The server's reply: its own nonce and its proof of the key."""

    version: int
    node: str
    nonce: bytes
    proof: bytes


@message(5)
class Proven(NamedTuple):
    """The client's proof of the key; calls may follow immediately."""

    proof: bytes


@message(6)
class Rejected(NamedTuple):
    """Sent before closing the connection, with the reason."""

    reason: str


async def client_handshake(frames: FrameStream, *, node: str, key: str) -> str:
    """Run the client side of the handshake; return the server's name.

    :raises MessageError: if the server's version is unsupported or it does not have the key.
    """
    hello = Hello(PROTOCOL_VERSION, node, secrets.token_bytes(NONCE_BYTES))
    _send(frames, hello)
    challenge = await _receive(frames, Challenge)
    await _check_version(frames, challenge.version)
    proof = _compute_proof(key, "server", hello, challenge)
    if not hmac.compare_digest(proof, challenge.proof):
        await _reject(frames, f"node {challenge.node} does not have the cluster key")
    _send(frames, Proven(_compute_proof(key, "client", hello, challenge)))
    return challenge.node


async def server_handshake(frames: FrameStream, *, node: str, key: str) -> str:
    """Run the server side of the handshake; return the client's name.

    :raises MessageError: if the client's version is unsupported or it does not have the key.
    """
    hello = await _receive(frames, Hello)
    await _check_version(frames, hello.version)
    challenge = Challenge(PROTOCOL_VERSION, node, secrets.token_bytes(NONCE_BYTES), b"")
    proof = _compute_proof(key, "server", hello, challenge)
    _send(frames, challenge._replace(proof=proof))
    proven = await _receive(frames, Proven)
    if not hmac.compare_digest(_compute_proof(key, "client", hello, challenge), proven.proof):
        await _reject(frames, f"node {hello.node} does not have the cluster key")
    return hello.node


def _compute_proof(key: str, side: str, hello: Hello, challenge: Challenge) -> bytes:
    signed_values = [side, hello.version, hello.node, hello.nonce]
    signed_values += [challenge.version, challenge.node, challenge.nonce]
    return hmac.digest(key.encode(), msgpack.packb(signed_values), hashlib.sha256)


async def _check_version(frames: FrameStream, version: int) -> None:
    if version < MIN_PROTOCOL_VERSION:
        await _reject(
            frames, f"protocol version {version}; must be {MIN_PROTOCOL_VERSION} or later"
        )


async def _reject(frames: FrameStream, reason: str) -> None:
    _send(frames, Rejected(reason))
    await frames.wait_sent()
    raise MessageError(reason)


def _send(frames: FrameStream, item: tuple[Any, ...]) -> None:
    frames.send_nowait(Frame(0, FrameKind.HELLO, to_plain(item)))


async def _receive(frames: FrameStream, expected: type) -> Any:
    frame = await frames.receive(max_bytes=MAX_HANDSHAKE_BYTES)
    if frame.kind is not FrameKind.HELLO:
        raise MessageError(f"a connection must begin with a handshake, not {frame.kind.name}")
    item = from_plain(frame.body)
    if isinstance(item, Rejected):
        raise MessageError(f"the peer rejected the handshake: {item.reason}")
    if not isinstance(item, expected):
        raise MessageError(f"received {type(item).__name__}; expected {expected.__name__}")
    return item
