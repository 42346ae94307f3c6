"""Connections between nodes: framed streams, message encoding and RPC; and an HTTP client."""

from __future__ import annotations

from bramleylead.connection._client import PeerClient
from bramleylead.connection._codec import MessageError
from bramleylead.connection._codec import decode
from bramleylead.connection._codec import encode
from bramleylead.connection._codec import message
from bramleylead.connection._network import Network
from bramleylead.connection._rpc import Done
from bramleylead.connection._rpc import Failed
from bramleylead.connection._rpc import PeerCall
from bramleylead.connection._rpc import Reply
from bramleylead.connection._rpc import first_answer
from bramleylead.connection._server import Handler
from bramleylead.connection._server import PeerServer
from bramleylead.connection._tcp import TcpNetwork

__all__ = [
    "Done",
    "Failed",
    "Handler",
    "MessageError",
    "Network",
    "PeerCall",
    "PeerClient",
    "PeerServer",
    "Reply",
    "TcpNetwork",
    "decode",
    "encode",
    "first_answer",
    "message",
]
