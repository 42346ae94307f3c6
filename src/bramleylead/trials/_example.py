"""A user's deployment from its folder in ``examples/``, cut to a size and moved to free ports."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any
from typing import NamedTuple
from typing import TypeVar

from result import Err
from result import Result

from bramleylead.node_settings import NodeSettings
from bramleylead.node_settings import StoreSettings
from bramleylead.process._run_node import free_address
from bramleylead.process._settings_file import load_settings
from bramleylead.trials._deployments import Deployment
from bramleylead.trials._deployments import Place
from bramleylead.version import Endpoint
from bramleylead.version import EndpointKind
from bramleylead.version import Ticket
from bramleylead.version import parse_ticket

FREE_ADDRESS = "127.0.0.1:0"
FIRST_TICKET = "1-setup.json"

_T = TypeVar("_T")


class Example(NamedTuple):
    """One user's deployment and the keys of its callers and operators.

    :param keys: each branch's key.
    """

    deployment: Deployment
    keys: dict[str, str]
    operator_key: str


def load_example(folder: Path, *, nodes: int, engines: int, store: StoreSettings) -> Example:
    """Read a user's folder; nodes and engines are taken in turn from each region.

    :param store: the object API that the nodes use in place of the one in the files.
    :raises OSError: if a file can't be read.
    :raises ValueError: if a file has faults; the message says which.
    """
    ticket = _checked(parse_ticket((folder / "tickets" / FIRST_TICKET).read_bytes()))
    settings = [_checked(load_settings(path)) for path in sorted((folder / "nodes").iterdir())]
    chosen = [_moved(item, store) for item in _in_turn(settings, nodes)]
    places = tuple(sorted({Place(item.region, item.data_centre) for item in chosen}))
    keys = json.loads((folder / "keys.json").read_bytes())
    deployment = Deployment(
        folder.name,
        places,
        {item.node: item for item in chosen},
        ticket.model_copy(update={"endpoints": _endpoints(ticket, engines)}),
    )
    return Example(deployment, keys["branches"], keys["operator"])


def _checked(loaded: Result[_T, tuple[Any, ...]]) -> _T:
    if isinstance(loaded, Err):
        raise ValueError("; ".join(str(fault) for fault in loaded.err_value))
    return loaded.ok_value


def _in_turn(settings: list[NodeSettings], count: int) -> list[NodeSettings]:
    """Take the first node of every region, then the second of each."""
    ranks: dict[str, int] = {}
    ranked = []
    for item in settings:
        ranks[item.region] = ranks.get(item.region, 0) + 1
        ranked.append((ranks[item.region], item.node, item))
    return [item for _, _, item in sorted(ranked, key=lambda each: each[:2])][:count]


def _moved(settings: NodeSettings, store: StoreSettings) -> NodeSettings:
    addresses = {
        "peer_address": free_address(FREE_ADDRESS),
        "http_address": free_address(FREE_ADDRESS),
    }
    return settings.model_copy(update={**addresses, "store": store})


def _endpoints(ticket: Ticket, engines: int) -> dict[str, Endpoint]:
    """Return all services and some engines, at free ports."""
    ranks: dict[str, int] = {}
    ranked = []
    for name, endpoint in sorted(ticket.endpoints.items()):
        if endpoint.kind is EndpointKind.ENGINE:
            ranks[endpoint.region] = ranks.get(endpoint.region, 0) + 1
            ranked.append((ranks[endpoint.region], name))
    chosen = {name for _, name in sorted(ranked)[:engines]}
    return {
        name: endpoint.model_copy(update={"address": free_address(FREE_ADDRESS)})
        for name, endpoint in ticket.endpoints.items()
        if endpoint.kind is not EndpointKind.ENGINE or name in chosen
    }
