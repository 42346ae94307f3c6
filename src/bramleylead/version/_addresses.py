"""Checks of ``host:port`` addresses, which name hosts by IP number only."""

from __future__ import annotations

import ipaddress

MAX_PORT = 65_535


def address_fault(address: str, *, any_port: bool = False) -> str:
    """Return what is allowed in place of a wrong address, or an empty text for a good one.

    :param any_port: whether port 0 (take a free one) is allowed.
    """
    host, _, port = address.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        version = ipaddress.ip_address(host[1:-1] if bracketed else host).version
    except ValueError:
        return "host must be an IP number, IPv6 in square brackets"
    if bracketed != (version == 6):
        return "IPv6 hosts, and only they, stand in square brackets"
    lowest = 0 if any_port else 1
    if not lowest <= int(port) <= MAX_PORT:
        return f"port must be from {lowest} to {MAX_PORT}"
    return ""
