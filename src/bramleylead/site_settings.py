"""Settings of the two roles of a deployment: gateways, and nodes of the ledger."""

from __future__ import annotations

from typing import Annotated

from pydantic import Field

from bramleylead.validation import Address
from bramleylead.validation import Name
from bramleylead.validation import Strict


class StoreAddress(Strict):
    """Where the platform's store is."""

    address: Address


class SiteSettings(Strict):
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
    cluster_key: Annotated[str, Field(min_length=16)]
    losses: Annotated[int, Field(ge=0)]
    stop_grace_s: Annotated[float, Field(gt=0)] = 8.0
    random_seed: int | None = None

    @property
    def peer_address(self) -> str:
        """Where this process takes calls of other nodes."""
        return f"{self.host}:{self.peer_ports[0]}"


class GatewaySettings(SiteSettings):
    """What a gateway is told at start.

    :param http_address: where callers connect.
    :param ready_address: where the balancer asks whether it may send callers.
    :param seeds: addresses of some VMs that hold or held the ledger; the ports are not used, since
        its nodes listen on the first of ``peer_ports`` everywhere.
    """

    http_address: Address
    ready_address: Address
    seeds: tuple[Address, ...] = ()

    @property
    def ledger_seeds(self) -> list[str]:
        """Where nodes of the ledger may listen."""
        hosts = [seed.rpartition(":")[0] for seed in self.seeds]
        return [f"{host}:{self.peer_ports[0]}" for host in hosts]


class LedgerSettings(SiteSettings):
    """What a node of the ledger is told at start."""

    data_folder: Annotated[str, Field(min_length=1)]
