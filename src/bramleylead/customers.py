"""The customers of a deployment: who may call, with which keys, how urgently and how often.

Keys are held as digests only, so that no dump, log line or traceback can show one.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

DIGEST_BYTES = 16
MAX_NAME_CHARS = 200


class Quota(NamedTuple):
    """The requests that a customer may send through all gateways together.

    :param rate_per_s: requests a second.
    :param burst: requests that may come at once, beyond the rate.
    """

    rate_per_s: float
    burst: float

    def allowed(self, window_s: float) -> float:
        """Return the most requests of any span of this length."""
        return self.rate_per_s * window_s + self.burst


class Customer(NamedTuple):
    """One customer.

    :param priority: 0 is the most urgent; ``None`` if that of the route counts.
    :param quota: ``None`` if there is no limit.
    """

    name: str
    priority: int | None = None
    quota: Quota | None = None


class CustomerKeys(NamedTuple):
    """A customer and the keys with which it calls."""

    customer: Customer
    keys: tuple[str, ...]


class Customers(NamedTuple):
    """The customers of one version of the configuration.

    :param by_digest: the customer of each key, by the key's digest.
    """

    all: tuple[Customer, ...] = ()
    by_digest: dict[bytes, Customer] = {}

    def find(self, key: str) -> Customer | None:
        """Return the customer who has a key."""
        return self.by_digest.get(digest_of(key))


def index_customers(entries: Iterable[CustomerKeys]) -> Customers:
    """Index customers by their keys.

    :raises ValueError: if a name or a key is unusable, or given to two customers. The message
        shows no key.
    """
    by_name: dict[str, Customer] = {}
    by_digest: dict[bytes, Customer] = {}
    for customer, keys in entries:
        _check_text(customer.name, "customer: name")
        if customer.name in by_name:
            raise ValueError(f"customer {customer.name}: is listed twice")
        by_name[customer.name] = customer
        for position, key in enumerate(keys):
            place = f"customer {customer.name}: key {position + 1}"
            _check_text(key, place)
            owner = by_digest.setdefault(digest_of(key), customer)
            if owner is not customer:
                raise ValueError(f"{place}: is also a key of customer {owner.name}")
    return Customers(tuple(by_name.values()), by_digest)


def digest_of(key: str) -> bytes:
    """Return the digest under which a key is held."""
    return blake2b(key.encode(), digest_size=DIGEST_BYTES).digest()


def _check_text(text: str, place: str) -> None:
    """Check that a text can be sent as the value of a header.

    :raises ValueError: if it can't.
    """
    if not text or len(text) > MAX_NAME_CHARS:
        raise ValueError(f"{place}: must have 1 to {MAX_NAME_CHARS} characters, not {len(text)}")
    if not text.isascii() or not text.isprintable() or text != text.strip():
        raise ValueError(f"{place}: must be printable ASCII without blanks around it")
