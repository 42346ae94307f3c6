"""What lives for a connection: framed streams between nodes, and the messages on them."""

from __future__ import annotations

from bramleylead.connection._codec import MessageError
from bramleylead.connection._codec import decode
from bramleylead.connection._codec import encode
from bramleylead.connection._codec import message
from bramleylead.connection._network import Network
from bramleylead.connection._rpc import Handler
from bramleylead.connection._rpc import PeerClient
from bramleylead.connection._rpc import PeerServer
from bramleylead.connection._rpc import Reply
from bramleylead.connection._tcp import TcpNetwork

__all__ = [
    "Handler",
    "MessageError",
    "Network",
    "PeerClient",
    "PeerServer",
    "Reply",
    "TcpNetwork",
    "decode",
    "encode",
    "message",
]
