"""The components of a node that the owner of programs depends on."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

from bramleylead.backends import BackendFactory
from bramleylead.fleet._members import ConfigSource
from bramleylead.metrics import Metrics
from bramleylead.node_settings import NodeSettings
from bramleylead.process.budgets._budget import BudgetEscrow
from bramleylead.process.journal._partition_log import PartitionDirectory
from bramleylead.promises import Promises
from bramleylead.scheduling import Scheduler


class Retries(Protocol):
    """A retry budget: it limits retries to a share of all attempts."""

    def allow(self) -> bool:
        """Take one retry from the budget; return whether one was available."""
        ...

    def succeeded(self) -> None:
        """Record that a first attempt succeeded, which earns a fraction of a retry."""
        ...


class OwnerDependencies(NamedTuple):
    """The dependencies for running a call, passed as one value."""

    settings: NodeSettings
    directory: PartitionDirectory
    tickets: ConfigSource
    escrow: BudgetEscrow
    scheduler: Scheduler
    backends: BackendFactory
    retries: Retries
    promises: Promises
    metrics: Metrics
    wall_clock: Callable[[], float]
