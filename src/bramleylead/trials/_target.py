"""What callers and judges of a trial need of the fleet before them, in virtual or real time."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Mapping
from collections.abc import Sequence
from contextlib import AbstractAsyncContextManager
from typing import Protocol

import anyio
from result import Result

from bramleylead.errors import Failure
from bramleylead.node_settings import NodeSettings
from bramleylead.promises import Violation
from bramleylead.request import CallItem
from bramleylead.request import CallRequest
from bramleylead.request import EndProgram
from bramleylead.request import OpenProgram
from bramleylead.request import ProgramView
from bramleylead.request import ReadProgram
from bramleylead.standins import EngineLedger
from bramleylead.standins import FakeEngine
from bramleylead.standins import ServiceLedger
from bramleylead.trials._deployments import Deployment


class CallerNode(Protocol):
    """A node as callers reach it; ``None`` in place of an answer: the connection broke."""

    async def open_program(self, request: OpenProgram) -> Result[ProgramView, Failure] | None:
        """Open a program."""
        ...

    async def read_program(self, request: ReadProgram) -> Result[ProgramView, Failure] | None:
        """Read a program's state."""
        ...

    async def end_program(self, request: EndProgram) -> Result[ProgramView, Failure] | None:
        """End a program."""
        ...

    def call(self, request: CallRequest) -> AbstractAsyncContextManager[AsyncIterator[CallItem]]:
        """Run a call; items without an end: the connection broke."""
        ...


class CallerHost(Protocol):
    """A VM as callers see it."""

    @property
    def settings(self) -> NodeSettings:
        """The settings of its node."""
        ...

    @property
    def node(self) -> CallerNode | None:
        """The node, if one can be asked."""
        ...

    @property
    def broken(self) -> anyio.Event:
        """Set when the node's connections to callers break."""
        ...

    @property
    def stopping(self) -> bool:
        """Whether its node was asked to stop gracefully."""
        ...


class TrialEndpoints(Protocol):
    """The stand-ins of a trial and their ledgers."""

    @property
    def engines(self) -> Mapping[str, FakeEngine]:
        """The engines by address."""
        ...

    @property
    def engine_ledger(self) -> EngineLedger:
        """What all engines have seen."""
        ...

    @property
    def service_ledger(self) -> ServiceLedger:
        """What all services have done."""
        ...


class TrialFleet(Protocol):
    """A fleet under trial."""

    @property
    def deployment(self) -> Deployment:
        """Nodes and first ticket."""
        ...

    @property
    def endpoints(self) -> TrialEndpoints:
        """The stand-ins."""
        ...

    @property
    def violations(self) -> list[Violation]:
        """What callers and judges have found."""
        ...

    def ready(self) -> Sequence[CallerHost]:
        """Return the hosts that the balancer sends callers to."""
        ...
