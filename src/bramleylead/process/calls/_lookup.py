"""Resolves what a request refers to: its partition, its program, and the target of its call."""

from __future__ import annotations

from typing import NamedTuple
from typing import final

from result import Err
from result import Ok
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.process._owner_dependencies import OwnerDependencies
from bramleylead.process.journal._partition_log import PartitionLog
from bramleylead.process.journal._state import ProgramState
from bramleylead.process.partitions._partition_hash import partition_of
from bramleylead.request import CallKind
from bramleylead.request import CallRequest
from bramleylead.version import Branch
from bramleylead.version import ProgramKind


class ProgramConfig(NamedTuple):
    """Current configuration of one program's branch and kind."""

    branch: Branch
    kind: ProgramKind


class CallTarget(NamedTuple):
    """Configuration of a call whose target the program's kind allows."""

    config: ProgramConfig
    repeatable: bool


@final
class ProgramLookup:
    """Looks up partitions, programs and configuration for requests."""

    def __init__(self, parts: OwnerDependencies) -> None:
        self._parts = parts

    def partition(self, program: str) -> Result[PartitionLog, Failure]:
        """Return the partition of a program, if this node owns it."""
        number = partition_of(program, self._parts.settings.partitions.count)
        log = self._parts.directory.log(number)
        if log is None:
            detail = f"{self._parts.settings.node} does not own partition {number}"
            return Err(Failure(ErrorKind.OWNER_UNAVAILABLE, detail))
        return Ok(log)

    async def confirmed_partition(self, program: str) -> Result[PartitionLog, Failure]:
        """Return a program's partition after the second copy has confirmed this owner.

        A previous owner that was paused still has its old state and must not answer from it.
        """
        found = self.partition(program)
        if isinstance(found, Err) or found.ok_value.has_valid_lease():
            return found
        confirmed = await found.ok_value.append()
        if isinstance(confirmed, Err):
            return confirmed
        return self.partition(program)

    async def program(
        self, branch: str, name: str
    ) -> Result[tuple[PartitionLog, ProgramState], Failure]:
        """Return a branch's program and its partition, after this owner has been confirmed."""
        found = await self.confirmed_partition(name)
        if isinstance(found, Err):
            return found
        program = found.ok_value.state.programs.get(name)
        if program is None:
            return Err(Failure(ErrorKind.UNKNOWN_PROGRAM, f"there is no program {name}"))
        if program.branch != branch:
            detail = f"program {name} belongs to another branch"
            return Err(Failure(ErrorKind.FORBIDDEN, detail))
        return Ok((found.ok_value, program))

    def config(self, branch: str, kind: str) -> Result[ProgramConfig, Failure]:
        """Return the configuration of a branch and of a program kind that the branch may run."""
        config = self._parts.tickets.config
        branch_config = config.branches.get(branch)
        if branch_config is None:
            return Err(Failure(ErrorKind.UNKNOWN_BRANCH, f"there is no branch {branch}"))
        kind_config = config.program_kinds.get(kind)
        if kind_config is None or kind not in branch_config.program_kinds:
            allowed = ", ".join(branch_config.program_kinds) or "none"
            detail = f"branch {branch} may run {allowed}, not {kind}"
            return Err(Failure(ErrorKind.UNKNOWN_TARGET, detail))
        return Ok(ProgramConfig(branch_config, kind_config))

    def explain_unknown_program(self, failure: Failure, request: CallRequest) -> Failure:
        """Return a more specific failure if the program may have been lost with both copies.

        The program is unknown here, but the caller saw it in an earlier incarnation.
        """
        found = self.partition(request.program)
        if failure.kind is not ErrorKind.UNKNOWN_PROGRAM or isinstance(found, Err):
            return failure
        incarnation = found.ok_value.state.incarnation
        if not 0 < request.incarnation < incarnation:
            return failure
        detail = (
            f"program {request.program} is unknown because both copies of its journal were lost; "
            f"its partition's incarnation is now {incarnation}; open the program again"
        )
        if request.call_kind is CallKind.MODEL:
            return Failure(ErrorKind.HISTORY_ROLLED_BACK, detail)
        return Failure(ErrorKind.OUTCOME_UNKNOWN, detail)

    def target(self, program: ProgramState, request: CallRequest) -> CallTarget | Failure:
        """Return a call's target, if the program's kind may call it."""
        config = self.config(program.branch, program.kind)
        if isinstance(config, Err):
            return config.err_value
        kind = config.ok_value.kind
        if request.call_kind is CallKind.MODEL:
            if request.target in kind.models:
                return CallTarget(config.ok_value, repeatable=True)
            allowed = ", ".join(kind.models)
        else:
            tool = kind.tools.get(request.target)
            if tool is not None:
                return CallTarget(config.ok_value, repeatable=tool.repeatable)
            allowed = ", ".join(kind.tools)
        detail = f"program kind {program.kind} may call {allowed or 'nothing'}"
        return Failure(ErrorKind.UNKNOWN_TARGET, f"{detail}, not {request.target}")
