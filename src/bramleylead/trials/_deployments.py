"""The deployments of both users at today's sizes, as settings and a first ticket."""

from __future__ import annotations

import hashlib
from typing import NamedTuple

from bramleylead.node_settings import NodeSettings
from bramleylead.version import Branch
from bramleylead.version import Budget
from bramleylead.version import Endpoint
from bramleylead.version import EndpointKind
from bramleylead.version import ProgramKind
from bramleylead.version import Ticket
from bramleylead.version import Tool

NODES_PER_REGION = 2
ENGINES_PER_REGION = 3
MODEL = "assistant"
CLUSTER_KEY = "cluster key of a trial"
OPERATOR_KEY = "operator key of a trial"
LARGE_BUDGET = 1_000_000_000
SMALL_BUDGET = 4_000


class Place(NamedTuple):
    """A region with its one data centre."""

    region: str
    data_centre: str


class Deployment(NamedTuple):
    """One user's deployment.

    :param nodes: settings by node name.
    :param ticket: the first ticket, which creates everything.
    """

    name: str
    places: tuple[Place, ...]
    nodes: dict[str, NodeSettings]
    ticket: Ticket


def host_of_node(number: int) -> str:
    """Return the IP number of a node, counted from 0."""
    return f"10.0.{number // 200}.{number % 200 + 1}"


def branch_key(branch: str) -> str:
    """Return the key that a trial's callers of a branch send."""
    return f"key of {branch}"


def aspenhold() -> Deployment:
    """Return Aspenhold's: chainsaw schools in three provinces, with certification records."""
    places = tuple(Place(name, f"{name}-1") for name in ("saskatchewan", "manitoba", "alberta"))
    tools = {
        "look_up_record": Tool(endpoint_group="records", repeatable=True, price=1),
        "issue_certificate": Tool(endpoint_group="records", repeatable=False, price=50),
        "charge_fee": Tool(endpoint_group="records", repeatable=False, price=20),
    }
    kinds = {
        "assessment": _kind(tools),
        "tutoring": _kind({"look_up_record": tools["look_up_record"]}),
    }
    branches = ("chinook", "lakeland", "parkland", "northern")
    return _deployment("aspenhold", places, kinds, branches, services=("records", 4))


def ratsakool() -> Deployment:
    """Return Ratsakool's: riding schools in three towns, with stable bookings."""
    places = tuple(Place(name, f"{name}-1") for name in ("parnu", "tartu", "haapsalu"))
    tools = {
        "find_slots": Tool(endpoint_group="bookings", repeatable=True, price=1),
        "place_booking": Tool(endpoint_group="bookings", repeatable=False, price=10),
        "charge_deposit": Tool(endpoint_group="bookings", repeatable=False, price=20),
        "order_farrier": Tool(endpoint_group="bookings", repeatable=False, price=40),
    }
    kinds = {
        "booking": _kind(tools),
        "coaching": _kind({"find_slots": tools["find_slots"]}),
    }
    branches = ("parnu-yard", "tartu-yard", "haapsalu-yard")
    return _deployment("ratsakool", places, kinds, branches, services=("bookings", 3))


def first_endpoints(deployment: Deployment, kind: EndpointKind) -> list[tuple[str, Endpoint]]:
    """Return the deployment's endpoints of one kind, sorted by name."""
    found = deployment.ticket.endpoints.items()
    return sorted((name, item) for name, item in found if item.kind is kind)


def _kind(tools: dict[str, Tool]) -> ProgramKind:
    return ProgramKind(
        models=(MODEL,), tools=tools, max_turns=65, token_price=1, max_output_tokens=400
    )


def _deployment(
    name: str,
    places: tuple[Place, ...],
    kinds: dict[str, ProgramKind],
    branches: tuple[str, ...],
    *,
    services: tuple[str, int],
) -> Deployment:
    nodes = {}
    for number in range(NODES_PER_REGION * len(places)):
        settings = node_settings(number, places[number % len(places)])
        nodes[settings.node] = settings
    ticket = Ticket(
        number=1,
        author="setup",
        branches={
            branch: Branch(
                key_sha256=hashlib.sha256(branch_key(branch).encode()).hexdigest(),
                budget=f"{branch}-budget",
                program_kinds=tuple(kinds),
                home_region=places[number % len(places)].region,
            )
            for number, branch in enumerate(branches)
        },
        program_kinds=kinds,
        budgets={
            f"{branch}-budget": Budget(limit=LARGE_BUDGET if number else SMALL_BUDGET)
            for number, branch in enumerate(branches)
        },
        endpoints={**_engines(places), **_services(places, *services)},
    )
    return Deployment(name, places, nodes, ticket)


def node_settings(number: int, place: Place) -> NodeSettings:
    """Return the settings of one node of a trial."""
    host = host_of_node(number)
    return NodeSettings(
        node=f"node-{number}",
        region=place.region,
        data_centre=place.data_centre,
        peer_address=f"{host}:7000",
        http_address=f"{host}:8000",
        cluster_key=CLUSTER_KEY,
        operator_key_sha256=hashlib.sha256(OPERATOR_KEY.encode()).hexdigest(),
    )


def _engines(places: tuple[Place, ...]) -> dict[str, Endpoint]:
    engines = {}
    for number in range(ENGINES_PER_REGION * len(places)):
        place = places[number % len(places)]
        engines[f"engine-{number}"] = Endpoint(
            kind=EndpointKind.ENGINE,
            address=f"10.1.0.{number + 1}:9000",
            serves=MODEL,
            region=place.region,
            data_centre=place.data_centre,
            checks_fence=number % 2 == 0,
        )
    return engines


def _services(places: tuple[Place, ...], group: str, count: int) -> dict[str, Endpoint]:
    services = {}
    for number in range(count):
        place = places[number % len(places)]
        services[f"{group}-{number}"] = Endpoint(
            kind=EndpointKind.SERVICE,
            address=f"10.2.0.{number + 1}:9000",
            serves=group,
            region=place.region,
            data_centre=place.data_centre,
            checks_fence=number % 2 == 0,
        )
    return services
