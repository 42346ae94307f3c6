"""IDs of spending entries, which also tell the customer of a turn.

The customer is part of the ID because the form of a turn's record is fixed: nodes of earlier
versions refuse one with another field, and keep an ID as it is.
"""

from __future__ import annotations

import secrets

TOKEN_BYTES = 4
CUSTOMER_SEPARATOR = "-"


def new_entry(request_id: str, customer: str = "") -> str:
    """Return an ID for one attempt of a request, so that no caller can spend twice under one ID.

    :param customer: whose request it is; empty without customers.
    """
    token = secrets.token_hex(TOKEN_BYTES)
    suffix = CUSTOMER_SEPARATOR + customer.encode().hex() if customer else ""
    return f"{request_id}.{token}{suffix}"


def request_of(entry: str) -> str:
    """Return the ID of the request that an entry was made for."""
    return entry.rpartition(".")[0]


def customer_of(entry: str) -> str:
    """Return whose request an entry was made for; empty if that is not known."""
    encoded = entry.rpartition(".")[2].partition(CUSTOMER_SEPARATOR)[2]
    try:
        return bytes.fromhex(encoded).decode()
    except ValueError:
        return ""
