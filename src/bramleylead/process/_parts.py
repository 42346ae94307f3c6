"""The parts of a node that the owner of programs works with."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

from bramleylead.backends import BackendFactory
from bramleylead.metrics import Metrics
from bramleylead.node_settings import NodeSettings
from bramleylead.process.budgets._budget import BudgetEscrow
from bramleylead.process.journal._partition_log import PartitionDirectory
from bramleylead.process.membership._members import ConfigSource
from bramleylead.promises import Promises
from bramleylead.scheduling import Scheduler


class Retries(Protocol):
    """A retry budget: attempts after the first are a bounded share of all."""

    def allow(self) -> bool:
        """Take one retry from the budget if there is one."""
        ...

    def succeeded(self) -> None:
        """Take in that a first attempt worked, which earns a part of a retry."""
        ...


class OwnerParts(NamedTuple):
    """Everything that running a call needs, passed whole."""

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
