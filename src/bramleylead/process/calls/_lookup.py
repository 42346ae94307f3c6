"""Looks up what a request names: its partition, its program, and what it may call."""

from __future__ import annotations

from typing import NamedTuple
from typing import final

from result import Err
from result import Ok
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.process._parts import OwnerParts
from bramleylead.process.journal._log import PartitionLog
from bramleylead.process.journal._state import ProgramState
from bramleylead.process.partitions._place import partition_of
from bramleylead.request import CallKind
from bramleylead.request import CallRequest
from bramleylead.version import Branch
from bramleylead.version import ProgramKind


class Rules(NamedTuple):
    """What the configuration in force says about one program."""

    branch: Branch
    kind: ProgramKind


class Target(NamedTuple):
    """What a call runs on, checked against the configuration."""

    rules: Rules
    repeatable: bool


@final
class ProgramLookup:
    """Finds things for requests, or says why not."""

    def __init__(self, parts: OwnerParts) -> None:
        self._parts = parts

    def partition(self, program: str) -> Result[PartitionLog, Failure]:
        """Return the partition of a program if this node owns it."""
        number = partition_of(program, self._parts.settings.partitions.count)
        log = self._parts.directory.log(number)
        if log is None:
            detail = f"{self._parts.settings.node} does not own partition {number}"
            return Err(Failure(ErrorKind.OWNER_UNAVAILABLE, detail))
        return Ok(log)

    async def confirmed(self, program: str) -> Result[PartitionLog, Failure]:
        """Return a program's partition once the second copy has confirmed this owner.

        A former owner that was paused still has a state, but must not answer from it.
        """
        found = self.partition(program)
        if isinstance(found, Err) or found.ok_value.may_act():
            return found
        confirmed = await found.ok_value.append()
        if isinstance(confirmed, Err):
            return confirmed
        return self.partition(program)

    async def program(
        self, branch: str, name: str
    ) -> Result[tuple[PartitionLog, ProgramState], Failure]:
        """Return a program of a branch, and its partition, from a confirmed owner."""
        found = await self.confirmed(name)
        if isinstance(found, Err):
            return found
        program = found.ok_value.state.programs.get(name)
        if program is None:
            return Err(Failure(ErrorKind.UNKNOWN_PROGRAM, f"there is no program {name}"))
        if program.branch != branch:
            detail = f"program {name} belongs to another branch"
            return Err(Failure(ErrorKind.FORBIDDEN, detail))
        return Ok((found.ok_value, program))

    def rules(self, branch: str, kind: str) -> Result[Rules, Failure]:
        """Return what the configuration says of a branch and a kind of program it may run."""
        config = self._parts.tickets.config
        branch_entry = config.branches.get(branch)
        if branch_entry is None:
            return Err(Failure(ErrorKind.UNKNOWN_BRANCH, f"there is no branch {branch}"))
        kind_entry = config.program_kinds.get(kind)
        if kind_entry is None or kind not in branch_entry.program_kinds:
            allowed = ", ".join(branch_entry.program_kinds) or "none"
            detail = f"branch {branch} may run {allowed}, not {kind}"
            return Err(Failure(ErrorKind.UNKNOWN_TARGET, detail))
        return Ok(Rules(branch_entry, kind_entry))

    def target(self, program: ProgramState, request: CallRequest) -> Target | Failure:
        """Return what a call runs on, if the program's kind may call it."""
        rules = self.rules(program.branch, program.kind)
        if isinstance(rules, Err):
            return rules.err_value
        kind = rules.ok_value.kind
        if request.call_kind is CallKind.MODEL:
            if request.target in kind.models:
                return Target(rules.ok_value, repeatable=True)
            allowed = ", ".join(kind.models)
        else:
            tool = kind.tools.get(request.target)
            if tool is not None:
                return Target(rules.ok_value, repeatable=tool.repeatable)
            allowed = ", ".join(kind.tools)
        detail = f"program kind {program.kind} may call {allowed or 'nothing'}"
        return Failure(ErrorKind.UNKNOWN_TARGET, f"{detail}, not {request.target}")
