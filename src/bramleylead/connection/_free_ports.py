"""Finds ports that a process can bind a moment later."""

from __future__ import annotations

import random
import socket
from pathlib import Path

FIRST_PORT = 10_240
EPHEMERAL_RANGE_FILE = Path("/proc/sys/net/ipv4/ip_local_port_range")
DEFAULT_EPHEMERAL_FROM = 32_768
MAX_TRIES = 100

_taken: set[int] = set()


def find_free_port(host: str) -> int:
    """Return a port on which nothing listens, and which this process has not returned before.

    It is below the range from which the kernel takes the ports of outgoing connections: one of
    those could take the port before it is bound.

    :raises OSError: if no port is found.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    generator = random.SystemRandom()
    for _ in range(MAX_TRIES):
        port = generator.randrange(FIRST_PORT, _first_ephemeral_port())
        if port not in _taken and _can_bind(family, host, port):
            _taken.add(port)
            return port
    raise OSError(f"no free port on {host} after {MAX_TRIES} tries")


def _can_bind(family: int, host: str, port: int) -> bool:
    with socket.socket(family, socket.SOCK_STREAM) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def _first_ephemeral_port() -> int:
    try:
        return max(FIRST_PORT + MAX_TRIES, int(EPHEMERAL_RANGE_FILE.read_text().split()[0]))
    except (OSError, ValueError):
        return DEFAULT_EPHEMERAL_FROM
