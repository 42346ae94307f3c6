"""Checks a ticket whole before it is accepted: its JSON, then its sense in a configuration."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from result import Err
from result import Ok
from result import Result

from bramleylead.json_documents import Fault
from bramleylead.json_documents import show_value
from bramleylead.validation import load_model
from bramleylead.version._addresses import address_fault
from bramleylead.version._config import Config
from bramleylead.version._config import apply_ticket
from bramleylead.version._schema import EndpointKind
from bramleylead.version._schema import Ticket

MAX_TICKET_BYTES = 900_000
"""The object API holds values up to a megabyte; a ticket is one value."""

PARTS = ("branches", "program_kinds", "budgets", "endpoints")


def parse_ticket(body: str | bytes) -> Result[Ticket, tuple[Fault, ...]]:
    """Read a ticket's JSON; an ``Err`` holds every fault of form."""
    size = len(body if isinstance(body, bytes) else body.encode())
    if size > MAX_TICKET_BYTES:
        return Err((Fault("(document)", f"{size} bytes", f"at most {MAX_TICKET_BYTES}"),))
    return load_model(Ticket, body)


def check_ticket(config: Config, ticket: Ticket) -> tuple[Fault, ...]:
    """Return every fault of sense.

    :param config: the configuration that the ticket is to be applied to.
    """
    faults = [*_check_removals(config, ticket), *_check_addresses(ticket)]
    after = apply_ticket(config._replace(number=ticket.number - 1), ticket)
    faults += _check_references(after, ticket)
    faults += _check_unique(after, ticket)
    return tuple(faults)


def validate_ticket(body: str | bytes, config: Config) -> Result[Ticket, tuple[Fault, ...]]:
    """Read and check a ticket; an ``Err`` holds every fault found."""
    parsed = parse_ticket(body)
    if isinstance(parsed, Err):
        return parsed
    faults = check_ticket(config, parsed.ok_value)
    return Err(faults) if faults else Ok(parsed.ok_value)


class _Reference(NamedTuple):
    """A name that something in the configuration uses.

    :param part: which part of the ticket the user stands in.
    :param user: its name.
    :param field: path of the reference inside it.
    :param target: the part in which the name must be found, in words.
    """

    part: str
    user: str
    field: str
    name: str
    target: str
    known: frozenset[str]


def _check_removals(config: Config, ticket: Ticket) -> Iterator[Fault]:
    for part in PARTS:
        changed = getattr(ticket, part)
        present = getattr(config, part)
        names = getattr(ticket, f"remove_{part}")
        for index, name in enumerate(names):
            path = f"remove_{part}.{index}"
            if name in changed:
                yield Fault(path, show_value(name), f"can't be both changed in {part} and removed")
            elif name not in present:
                yield Fault(path, show_value(name), f"must be one of {_named(present)}")
            if name in names[:index]:
                yield Fault(path, show_value(name), "may be named once")


def _check_addresses(ticket: Ticket) -> Iterator[Fault]:
    for name, endpoint in ticket.endpoints.items():
        allowed = address_fault(endpoint.address)
        if allowed:
            yield Fault(f"endpoints.{name}.address", show_value(endpoint.address), allowed)


def _check_references(after: Config, ticket: Ticket) -> Iterator[Fault]:
    for reference in (*_branch_references(after), *_kind_references(after)):
        if reference.name in reference.known:
            continue
        changed = reference.user in getattr(ticket, reference.part)
        path = f"{reference.part}.{reference.user}.{reference.field}"
        allowed = f"must be one of the {reference.target}: {_named(reference.known)}"
        if not changed:
            allowed += f"; the ticket takes away what {path} still uses"
            path = "(ticket)"
        yield Fault(path, show_value(reference.name), allowed)


def _branch_references(after: Config) -> Iterator[_Reference]:
    budgets, kinds = frozenset(after.budgets), frozenset(after.program_kinds)
    for name, branch in after.branches.items():
        yield _Reference("branches", name, "budget", branch.budget, "budgets", budgets)
        for index, kind in enumerate(branch.program_kinds):
            field = f"program_kinds.{index}"
            yield _Reference("branches", name, field, kind, "program kinds", kinds)


def _kind_references(after: Config) -> Iterator[_Reference]:
    models = _served(after, EndpointKind.ENGINE)
    groups = _served(after, EndpointKind.SERVICE)
    for name, kind in after.program_kinds.items():
        for index, model in enumerate(kind.models):
            field = f"models.{index}"
            yield _Reference("program_kinds", name, field, model, "models of engines", models)
        for tool, entry in kind.tools.items():
            field, group = f"tools.{tool}.endpoint_group", entry.endpoint_group
            yield _Reference("program_kinds", name, field, group, "groups of services", groups)


def _served(after: Config, kind: EndpointKind) -> frozenset[str]:
    return frozenset(item.serves for item in after.endpoints.values() if item.kind is kind)


def _check_unique(after: Config, ticket: Ticket) -> Iterator[Fault]:
    hashes = {name: branch.key_sha256 for name, branch in after.branches.items()}
    addresses = {name: endpoint.address for name, endpoint in after.endpoints.items()}
    yield from _shared("branches", "key_sha256", hashes, ticket.branches)
    yield from _shared("endpoints", "address", addresses, ticket.endpoints)
    for name, branch in ticket.branches.items():
        yield from _repeated(f"branches.{name}.program_kinds", branch.program_kinds)
    for name, kind in ticket.program_kinds.items():
        yield from _repeated(f"program_kinds.{name}.models", kind.models)


def _shared(
    part: str, field: str, values: Mapping[str, str], changed: Mapping[str, Any]
) -> Iterator[Fault]:
    for name in changed:
        others = [other for other in values if other != name and values[other] == values[name]]
        if others:
            shown = show_value(values[name])
            yield Fault(f"{part}.{name}.{field}", shown, f"{_named(others)} has it already")


def _repeated(path: str, names: Iterable[str]) -> Iterator[Fault]:
    for name, count in Counter(names).items():
        if count > 1:
            yield Fault(path, show_value(name), "may be named once")


def _named(names: Iterable[str]) -> str:
    return ", ".join(sorted(names)) or "(none)"
