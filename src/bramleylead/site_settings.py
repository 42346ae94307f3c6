"""Settings of the two roles of a deployment: gateways, and nodes of the ledger.

msgspec checks them: importing pydantic and building its models took a fifth of a role's start.
"""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
from typing import Annotated
from typing import Any
from typing import TypeVar

import msgspec
from msgspec import Meta
from result import Err
from result import Ok
from result import Result

from bramleylead.json_documents import ADDRESS_PATTERN
from bramleylead.json_documents import NAME_PATTERN
from bramleylead.json_documents import Fault
from bramleylead.json_documents import check_syntax
from bramleylead.json_documents import show_field
from bramleylead.platform import _names as names

Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
Address = Annotated[str, Meta(pattern=ADDRESS_PATTERN)]


class Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the settings: unknown keys and loose types are errors."""


_Settings = TypeVar("_Settings", bound=Strict)


class StoreAddress(Strict, kw_only=True):
    """Where the platform's store is."""

    address: Address


class SiteSettings(Strict, kw_only=True):
    """What a process of either role is told at start.

    :param data_centres: the region of each data centre.
    :param host: the address at which other nodes reach this one.
    :param peer_ports: first and last port that are free for nodes among themselves.
    :param metrics_address: where metrics and state dumps are read.
    :param losses: how many VMs with a disk may be lost at once.
    :param stop_grace_s: from the signal to stop until the process is ended by force.
    :param random_seed: of what the process draws; by default each start draws other numbers.
    """

    node: Name
    region: Name
    data_centre: Name
    data_centres: dict[str, str]
    host: str
    peer_ports: tuple[int, int]
    metrics_address: Address
    store: StoreAddress
    cluster_key: Annotated[str, Meta(min_length=16)]
    losses: Annotated[int, Meta(ge=0)]
    stop_grace_s: Annotated[float, Meta(gt=0)] = 8.0
    random_seed: int | None = None

    @property
    def peer_address(self) -> str:
        """Where this process takes calls of other nodes."""
        return f"{self.host}:{self.peer_ports[0]}"


class GatewaySettings(SiteSettings, kw_only=True):
    """What a gateway is told at start.

    :param http_address: where callers connect.
    :param ready_address: where the balancer asks whether it may send callers.
    :param seeds: addresses of some VMs that hold or held the ledger; the ports are not used, since
        its nodes listen on the first of ``peer_ports`` everywhere.
    :param contracts: the parts of the platform's rules that are in force.
    """

    http_address: Address
    ready_address: Address
    seeds: tuple[Address, ...] = ()
    contracts: tuple[str, ...] = ()

    @property
    def bounds_memory(self) -> bool:
        """Whether replicas crash when they lack memory, and readers may be slow."""
        return names.PRESSURE_CONTRACT in self.contracts

    @property
    def ledger_seeds(self) -> list[str]:
        """Where nodes of the ledger may listen."""
        hosts = [seed.rpartition(":")[0] for seed in self.seeds]
        return [f"{host}:{self.peer_ports[0]}" for host in hosts]


class LedgerSettings(SiteSettings, kw_only=True):
    """What a node of the ledger is told at start."""

    data_folder: Annotated[str, Meta(min_length=1)]


def load_settings(
    model: type[_Settings], text: str | bytes
) -> Result[_Settings, tuple[Fault, ...]]:
    """Read JSON into settings; an ``Err`` holds the first fault of each field, and unknown keys."""
    syntax = check_syntax(text)
    if syntax is not None:
        return Err((syntax,))
    try:
        return Ok(msgspec.json.decode(text, type=model))
    except msgspec.ValidationError as error:
        given = msgspec.json.decode(text)
        if not isinstance(given, dict):
            return Err((Fault("(document)", show_field((), given), _reword(str(error))),))
        return Err(tuple(_find_faults(model, given)))


def _find_faults(
    model: type[Strict], given: Mapping[str, Any], path: tuple[str, ...] = ()
) -> Iterator[Fault]:
    """Yield what is wrong with each field; msgspec itself stops at the first one."""
    fields = {field.name: field for field in msgspec.structs.fields(model)}
    for name, field in fields.items():
        place = (*path, name)
        if name not in given:
            if field.required:
                yield Fault(".".join(place), "missing", "must be given")
        elif _is_settings(field.type) and isinstance(given[name], dict):
            yield from _find_faults(field.type, given[name], place)
        else:
            yield from _find_fault(field.type, given[name], place)
    allowed = ", ".join(fields)
    for name in given:
        if name not in fields:
            shown = show_field((name,), given[name])
            yield Fault(".".join((*path, name)), shown, f"unknown key, allowed are {allowed}")


def _find_fault(expected: Any, value: Any, path: tuple[str, ...]) -> Iterator[Fault]:
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as error:
        yield Fault(".".join(path), show_field(path, value), _reword(str(error)))


def _is_settings(expected: Any) -> bool:
    return isinstance(expected, type) and issubclass(expected, Strict)


def _reword(message: str) -> str:
    return message.replace("Expected ", "must be ", 1)
