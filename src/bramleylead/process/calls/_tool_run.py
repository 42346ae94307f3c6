"""Runs tool calls at plain services."""

from __future__ import annotations

from typing import final

import anyio
from result import Err

from bramleylead.backends import ServiceCall
from bramleylead.process.calls._attempt_result import AttemptOutcome
from bramleylead.process.calls._attempt_result import AttemptResult
from bramleylead.process.calls._attempt_result import attempt_result_from_error
from bramleylead.process.calls._run import CallRun
from bramleylead.scheduling import Slot
from bramleylead.scheduling import SlotRequest
from bramleylead.version import Tool

MIN_TIMEOUT_S = 0.001


@final
class ToolRun(CallRun):
    """A tool call. The tool's configuration says whether it is repeatable."""

    def max_cost(self) -> int:
        """Price of one call."""
        return self._tool().price

    def cost(self, result: AttemptResult) -> int:
        """Price of one call, or 0 if it certainly did not run."""
        return 0 if result.outcome is AttemptOutcome.NOT_RUN else self._tool().price

    def slot_request(self) -> SlotRequest:
        """Describe the slot that the call needs on a service of the tool's endpoint group."""
        call, settings = self._call, self._parts.settings
        return SlotRequest(
            call=call.name,
            program=call.program.program,
            branch=call.program.branch,
            serves=self._tool().endpoint_group,
            region=settings.region,
            data_centre=settings.data_centre,
            home_region=call.branch.home_region,
            weight=call.branch.weight,
            prompt_tokens=0,
            expected_output_tokens=0,
            attained=call.program.attained,
            cached={},
            waited_s=anyio.current_time() - call.started_at,
            deadline_s=call.seconds_left,
            avoid=tuple(call.avoided_endpoints),
        )

    async def run_attempt(self, slot: Slot, attempt_number: int) -> AttemptResult:
        """Send the call and wait for the answer until the tool's timeout or the deadline."""
        call = self._call
        name = slot.granted.endpoint
        endpoint = self._parts.tickets.config.endpoints.get(name)
        if endpoint is None:
            return AttemptResult(AttemptOutcome.NOT_RUN, f"endpoint {name} was removed")
        service = self._parts.backends.service(name, endpoint)
        request = ServiceCall(
            call=call.name,
            tool=call.request.target,
            arguments=call.request.arguments,
            fence=call.log.epoch,
        )
        timeout_s = max(min(self._tool().timeout_s, call.seconds_left), MIN_TIMEOUT_S)
        sent_before, call.sent = call.sent, True
        with anyio.move_on_after(timeout_s):
            answered = await service.invoke(request, timeout_s=timeout_s)
            if isinstance(answered, Err):
                failed = attempt_result_from_error(answered.err_value)
                call.sent = sent_before or failed.outcome is not AttemptOutcome.NOT_RUN
                return failed
            return AttemptResult(AttemptOutcome.DONE, value=answered.ok_value)
        return AttemptResult(
            AttemptOutcome.UNKNOWN, f"no answer from {name} within {timeout_s:.1f} s"
        )

    def _tool(self) -> Tool:
        return self._call.kind.tools[self._call.request.target]
