"""The state of a program, and of the node that owns it, in a run of the policy bench."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import final

from bramleylead.backends import Message
from bramleylead.bench._workload import Script
from bramleylead.scheduling import PoolChooser
from bramleylead.scheduling import RetryBudget

OUTPUT_WEIGHT = 0.1
FIRST_EXPECTED_OUTPUT = 150.0


@final
class TrialOwner:
    """One node as the owner of programs."""

    def __init__(self, name: str, region: str, chooser: PoolChooser) -> None:
        self.name = name
        self.region = region
        self.chooser = chooser
        self.retries = RetryBudget()
        self.expected_output: dict[str, float] = {}

    def learn_output(self, kind: str, tokens: int) -> None:
        """Move the expected output of a kind of program towards an answer's."""
        seen = self.expected_output.get(kind, FIRST_EXPECTED_OUTPUT)
        self.expected_output[kind] = seen + OUTPUT_WEIGHT * (tokens - seen)


@dataclass(slots=True, eq=False)
class TrialProgram:
    """A program while it runs, as its owner knows it; sub-agents share their root's counters."""

    script: Script
    owner: TrialOwner
    root: TrialProgram | None
    messages: tuple[Message, ...] = ()
    caches: dict[str, int] = field(default_factory=dict)
    prompt_tokens: int = 0
    computed_tokens: int = 0
    attained: float = 0.0
    number: int = 0

    @property
    def top(self) -> TrialProgram:
        """The program that no other one started as a sub-agent."""
        return self.root or self
