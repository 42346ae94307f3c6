"""The plan of a program that a caller of a trial runs."""

from __future__ import annotations

from typing import NamedTuple

from bramleylead.request import CallKind
from bramleylead.trials._deployments import MODEL


class Step(NamedTuple):
    """One planned call.

    :param pause_s: how long the caller thinks, or its own tool works, before the call.
    """

    call_kind: CallKind
    target: str
    text: str
    pause_s: float


class Plan(NamedTuple):
    """A program that a caller will run."""

    program: str
    branch: str
    kind: str
    steps: tuple[Step, ...]
    parent: str = ""


def model_step(text: str, pause_s: float) -> Step:
    """Return a planned model call."""
    return Step(CallKind.MODEL, MODEL, text, pause_s)


def tool_step(target: str, text: str, pause_s: float) -> Step:
    """Return a planned tool call."""
    return Step(CallKind.TOOL, target, text, pause_s)
