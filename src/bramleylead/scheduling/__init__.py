"""Scheduling: selects the endpoint and the order of calls, and limits the load of each engine."""

from __future__ import annotations

from bramleylead.scheduling import _baseline_policies  # noqa: F401 - registers the baseline policies
from bramleylead.scheduling import _default_policy  # noqa: F401 - registers the default policy
from bramleylead.scheduling._decisions import Decision
from bramleylead.scheduling._dispatcher import Dispatcher
from bramleylead.scheduling._node import NodeScheduler
from bramleylead.scheduling._policy import Choice
from bramleylead.scheduling._policy import Policy
from bramleylead.scheduling._policy import policy
from bramleylead.scheduling._policy import policy_names
from bramleylead.scheduling._pool_chooser import ChooserParameters
from bramleylead.scheduling._pool_chooser import PoolChoice
from bramleylead.scheduling._pool_chooser import PoolChooser
from bramleylead.scheduling._pool_load import PoolNews
from bramleylead.scheduling._pools import PoolKey
from bramleylead.scheduling._pools import pools_of
from bramleylead.scheduling._remote import RemoteScheduler
from bramleylead.scheduling._remote import SlotServer
from bramleylead.scheduling._retry_budget import RetryBudget
from bramleylead.scheduling._types import Scheduler
from bramleylead.scheduling._types import Slot
from bramleylead.scheduling._types import SlotFinished
from bramleylead.scheduling._types import SlotGranted
from bramleylead.scheduling._types import SlotRequest

__all__ = [
    "Choice",
    "ChooserParameters",
    "Decision",
    "Dispatcher",
    "NodeScheduler",
    "Policy",
    "PoolChoice",
    "PoolChooser",
    "PoolKey",
    "PoolNews",
    "RemoteScheduler",
    "RetryBudget",
    "Scheduler",
    "Slot",
    "SlotFinished",
    "SlotGranted",
    "SlotRequest",
    "SlotServer",
    "policy",
    "policy_names",
    "pools_of",
]
