"""What one run of the policy bench has shown."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import NamedTuple

from bramleylead.bench._cache_bound import PrefixUse
from bramleylead.standins import EngineLedger


@dataclass(slots=True)
class ProgramOutcome:
    """How one program went; times in seconds.

    :param latency_s: from its arrival to its end, without the user's own pauses.
    """

    kind: str
    branch: str
    arrived_s: float
    alone_s: float
    latency_s: float = 0.0
    ended_s: float = 0.0
    ok: bool = False
    failure: str = ""


class CallOutcome(NamedTuple):
    """Times of one answered call."""

    at_s: float
    first_token_s: float
    gap_s: float


@dataclass(slots=True)
class TrialResult:
    """Everything that one run has shown."""

    programs: list[ProgramOutcome] = field(default_factory=list)
    calls: list[CallOutcome] = field(default_factory=list)
    uses: list[PrefixUse] = field(default_factory=list)
    ledger: EngineLedger = field(default_factory=EngineLedger)
    cross_region_bytes: int = 0
    refused: int = 0
    ended_s: float = 0.0
    violations: int = 0
