"""Reads and settles the calls that are in a partition's journal and do not run."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Container
from typing import final

from result import Err
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.process.calls import _admission
from bramleylead.process.calls._outcome_entries import unknown_outcome_entry
from bramleylead.process.journal._partition_log import PartitionLog
from bramleylead.process.journal._state import CallStatus
from bramleylead.process.journal._state import ProgramState
from bramleylead.request import AnswerChunk
from bramleylead.request import AnswerStart
from bramleylead.request import CallItem


@final
class RecordedAnswers:
    """The answers of journaled calls, and the outcomes of those that were interrupted."""

    def __init__(self, wall_clock: Callable[[], float]) -> None:
        self._wall_clock = wall_clock

    async def read(
        self, log: PartitionLog, program: ProgramState, number: int, offset: int
    ) -> AsyncIterator[CallItem]:
        """Yield a journaled answer after the second copy has confirmed this owner."""
        confirmed = await self._confirm_record(log, program, number)
        if isinstance(confirmed, Err):
            yield confirmed.err_value
            return
        record = program.calls[number]
        if record.status is CallStatus.INTENDED:
            detail = f"call {program.program}/{number} was interrupted by an owner change"
            yield Failure(ErrorKind.OWNER_LOST, detail)
            return
        yield AnswerStart(number, program.incarnation)
        if record.status is CallStatus.DONE and offset < len(record.answer):
            yield AnswerChunk(offset, record.answer[offset:], record.output_tokens)
        yield _admission.recorded_outcome(program, record, durable=confirmed.ok_value)

    async def finish_interrupted(
        self, log: PartitionLog, running: Callable[[str], Container[int]]
    ) -> bool:
        """Journal an unknown outcome for interrupted non-repeatable calls.

        :param running: returns the numbers of a program's calls that run on this node.
        """
        for program in list(log.state.programs.values()):
            for record in list(program.calls.values()):
                interrupted = record.status is CallStatus.INTENDED and not record.repeatable
                if interrupted and record.number not in running(program.program):
                    journaled = await log.append(
                        unknown_outcome_entry(program, record.number, now_s=self._wall_clock())
                    )
                    if isinstance(journaled, Err):
                        return False
        return True

    async def _confirm_record(
        self, log: PartitionLog, program: ProgramState, number: int
    ) -> Result[bool, Failure]:
        """Have the second copy confirm this owner before a call record is returned.

        An interrupted non-repeatable call first gets its unknown outcome journaled: a caller that
        learns of this outcome continues with the next number, which must be free by then.
        """
        record = program.calls[number]
        if record.status is CallStatus.INTENDED and not record.repeatable:
            return await log.append(
                unknown_outcome_entry(program, number, now_s=self._wall_clock())
            )
        return await log.append()
