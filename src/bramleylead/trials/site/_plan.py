"""The faults of a soak, drawn from its seed: a seed always gives the same plan."""

from __future__ import annotations

import random
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple


class FaultKind(StrEnum):
    """What can be done to a deployment from outside."""

    KILL_GATEWAY = "kill_gateway"
    STOP_GATEWAY = "stop_gateway"
    FREEZE_GATEWAY = "freeze_gateway"
    KILL_LEDGER = "kill_ledger"
    STOP_LEDGER = "stop_ledger"
    FREEZE_LEDGER = "freeze_ledger"
    WIPE_LEDGER = "wipe_ledger"
    KILL_ALL = "kill_all"
    STORE_OUT = "store_out"
    STORE_SILENT = "store_silent"
    STORE_FORGETS = "store_forgets"
    STORE_TURNS_AWAY = "store_turns_away"
    REPLICA_SILENT = "replica_silent"
    REPLICA_DEAF = "replica_deaf"
    REPLICA_SLOW = "replica_slow"
    REPLICA_REFUSES = "replica_refuses"
    REPLICA_RESETS = "replica_resets"
    REPLICA_GREY = "replica_grey"
    REPLICA_DRAINS = "replica_drains"
    CONFIGURE = "configure"
    SIGNALS_TO_GATEWAY = "signals_to_gateway"
    SIGNALS_TO_LEDGER = "signals_to_ledger"
    PORT_IN_USE_GATEWAY = "port_in_use_gateway"
    PORT_IN_USE_LEDGER = "port_in_use_ledger"
    DESCRIPTORS_GATEWAY = "descriptors_gateway"
    DESCRIPTORS_LEDGER = "descriptors_ledger"
    ODD_ENTRY = "odd_entry"


LEDGER_LOSSES = (
    FaultKind.KILL_LEDGER,
    FaultKind.STOP_LEDGER,
    FaultKind.FREEZE_LEDGER,
    FaultKind.WIPE_LEDGER,
    FaultKind.KILL_ALL,
    FaultKind.SIGNALS_TO_LEDGER,
    FaultKind.PORT_IN_USE_LEDGER,
    FaultKind.DESCRIPTORS_LEDGER,
)
"""One of these at a time: more is beyond what a deployment says that it bears."""
FIRST_AT_S = 1.0
LONGEST_FAULT_S = 3.0
STORE_FAULTS = (
    FaultKind.STORE_OUT,
    FaultKind.STORE_SILENT,
    FaultKind.STORE_FORGETS,
    FaultKind.STORE_TURNS_AWAY,
)
LEDGER_REST_S = 6.0
"""After a node of the ledger is back, and the store with it, it needs this long to be a member."""
ALL_KINDS = tuple(FaultKind)
PROCESS_KINDS = (
    FaultKind.SIGNALS_TO_GATEWAY,
    FaultKind.SIGNALS_TO_LEDGER,
    FaultKind.PORT_IN_USE_GATEWAY,
    FaultKind.PORT_IN_USE_LEDGER,
    FaultKind.DESCRIPTORS_GATEWAY,
    FaultKind.DESCRIPTORS_LEDGER,
    FaultKind.ODD_ENTRY,
)
"""What could end a process, or keep one from becoming ready, without work of its own."""
KINDS_BY_NAME = {
    "all": ALL_KINDS,
    "process": PROCESS_KINDS,
    "other": tuple(kind for kind in ALL_KINDS if kind not in PROCESS_KINDS),
}


class Fault(NamedTuple):
    """One fault.

    :param at_s: from the start of traffic.
    :param target: drawn from the nodes or replicas that the kind fits, by its remainder.
    """

    at_s: float
    kind: FaultKind
    target: int
    for_s: float


def draw_plan(
    seed: int, *, length_s: float, gap_s: float, kinds: Sequence[FaultKind] = ALL_KINDS
) -> list[Fault]:
    """Return the faults of a seed in order of time.

    :param gap_s: the mean time from one to the next.
    :param kinds: what is drawn.
    """
    rng = random.Random(f"{seed}/faults")
    plan = []
    at_s = FIRST_AT_S
    rest = _LedgerRest()
    while at_s < length_s:
        fault = Fault(
            round(at_s, 3),
            rng.choice(kinds),
            rng.randrange(1_000),
            round(rng.uniform(0.3, LONGEST_FAULT_S), 3),
        )
        at_s += rng.expovariate(1 / gap_s)
        if rest.allows(fault):
            plan.append(fault)
    return plan


class _LedgerRest:
    """The time in which the ledger bears no further loss, and the store one fault at most."""

    def __init__(self) -> None:
        self._until_s = 0.0
        self._is_prolonged = False

    def allows(self, fault: Fault) -> bool:
        """Return whether a fault may come; if so, note how long the ledger rests after it."""
        is_resting = fault.at_s < self._until_s
        is_loss = fault.kind in LEDGER_LOSSES
        is_store_fault = fault.kind in STORE_FAULTS and is_resting
        if (is_loss and is_resting) or (is_store_fault and self._is_prolonged):
            return False
        if is_loss or is_store_fault:
            self._until_s = max(self._until_s, fault.at_s + fault.for_s + LEDGER_REST_S)
            self._is_prolonged = is_store_fault
        return True
