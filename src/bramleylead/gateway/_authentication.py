"""Finds out whose request it is, by the key that it carries."""

from __future__ import annotations

from result import Err
from result import Ok
from result import Result

from bramleylead.customers import Customer
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.platform._types import Configuration
from bramleylead.platform._types import Route

MAX_CONFIGURATION_AGE_S = 3.0
"""After this time without confirmation, a newer version may have added the key."""
RETRY_AFTER_S = 0.5


def authenticate(
    key: str, route: Route, configuration: Configuration, *, age_s: float
) -> Result[Customer | None, Failure]:
    """Return the customer who has a key; ``None`` where no key is needed.

    :param age_s: seconds since the configuration was confirmed to be the newest one.
    """
    customers = configuration.customers
    if route.public or not customers.all:
        return Ok(None)
    customer = customers.find(key)
    if customer is not None:
        return Ok(customer)
    known = f"configuration version {configuration.version}, confirmed {age_s:.1f} s ago"
    if age_s > MAX_CONFIGURATION_AGE_S:
        detail = f"{known}, has no customer with this key; a newer one may"
        return Err(Failure(ErrorKind.NOT_CURRENT, detail, RETRY_AFTER_S))
    return Err(Failure(ErrorKind.UNAUTHENTICATED, f"{known}, has no customer with this key"))
