"""A budget's object in the store: what each partition was granted and has returned."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple
from typing import TypedDict

from result import Err
from result import Ok
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.json_input import decode_json
from bramleylead.platform import StoredObject


class Share(TypedDict):
    """One partition's entry in a budget object: total units ever granted and ever returned."""

    granted: int
    returned: int
    incarnation: int


class BudgetObject(NamedTuple):
    """A budget object as read from the store; version 0 if it does not exist."""

    version: int
    shares: dict[str, Share]

    @property
    def outstanding(self) -> int:
        """Units that are granted and not yet returned."""
        return sum(share["granted"] - share["returned"] for share in self.shares.values())


def object_key(budget: str) -> str:
    """Return the key of a budget's object."""
    return f"budgets/{budget}"


def parse_object(budget: str, found: StoredObject) -> Result[BudgetObject, Failure]:
    """Parse a budget object; one that can't be read counts as unavailable."""
    try:
        shares = decode_json(found.value)["shares"]
        parsed = {number: _parse_share(share) for number, share in shares.items()}
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        detail = f"{object_key(budget)}: unreadable: {type(error).__name__}: {error}"
        return Err(Failure(ErrorKind.STORE_UNAVAILABLE, detail))
    return Ok(BudgetObject(found.version, parsed))


def _parse_share(plain: dict[str, Any]) -> Share:
    return Share(
        granted=int(plain["granted"]),
        returned=int(plain["returned"]),
        incarnation=int(plain["incarnation"]),
    )


def partition_share(budget_object: BudgetObject, partition: int) -> Share:
    """Return a copy of a partition's share; zeros if it has none."""
    found = budget_object.shares.get(str(partition))
    if found is None:
        return Share(granted=0, returned=0, incarnation=0)
    return Share(**found)
