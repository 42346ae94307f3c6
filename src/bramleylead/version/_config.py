"""The configuration in force: what the tickets up to a number add up to."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple
from typing import TypeVar

from bramleylead.version._schema import Branch
from bramleylead.version._schema import Budget
from bramleylead.version._schema import Endpoint
from bramleylead.version._schema import ProgramKind
from bramleylead.version._schema import Ticket

_Item = TypeVar("_Item")


class Config(NamedTuple):
    """The complete configuration after applying tickets ``1 .. number``."""

    number: int = 0
    branches: Mapping[str, Branch] = {}
    program_kinds: Mapping[str, ProgramKind] = {}
    budgets: Mapping[str, Budget] = {}
    endpoints: Mapping[str, Endpoint] = {}


def apply_ticket(config: Config, ticket: Ticket) -> Config:
    """Return the configuration with one more ticket in force.

    :raises ValueError: if the ticket's number is not the next one; applying out of order would
        break the promise that tickets never revert.
    """
    if ticket.number != config.number + 1:
        raise ValueError(f"ticket {ticket.number} can't follow {config.number}: apply in order")
    return Config(
        number=ticket.number,
        branches=_merge(config.branches, ticket.branches, ticket.remove_branches),
        program_kinds=_merge(
            config.program_kinds, ticket.program_kinds, ticket.remove_program_kinds
        ),
        budgets=_merge(config.budgets, ticket.budgets, ticket.remove_budgets),
        endpoints=_merge(config.endpoints, ticket.endpoints, ticket.remove_endpoints),
    )


def _merge(
    old: Mapping[str, _Item], changed: Mapping[str, _Item], removed: tuple[str, ...]
) -> Mapping[str, _Item]:
    kept = {name: item for name, item in old.items() if name not in removed}
    kept.update(changed)
    return kept
