"""Runs tool calls at plain services."""

from __future__ import annotations

from typing import final

import anyio
from result import Err

from bramleylead.backends import ServiceCall
from bramleylead.process.calls._run import Attempt
from bramleylead.process.calls._run import CallRun
from bramleylead.process.calls._run import Next
from bramleylead.process.calls._run import attempt_of_error
from bramleylead.scheduling import Slot
from bramleylead.scheduling import SlotRequest
from bramleylead.version import Tool

MIN_TIMEOUT_S = 0.001


@final
class ToolRun(CallRun):
    """A tool call; whether it may be repeated is the tool's."""

    def worst_cost(self) -> int:
        """Price of one call."""
        return self._tool().price

    def cost(self, attempt: Attempt) -> int:
        """Price of one call if it may have run."""
        return 0 if attempt.next is Next.NOT_RUN else self._tool().price

    def slot_request(self) -> SlotRequest:
        """Ask for a slot on a service of the tool's group."""
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
            expected_output=0,
            attained=call.program.attained,
            cached={},
            waited_s=anyio.current_time() - call.started_at,
            deadline_s=call.seconds_left,
            avoid=tuple(call.avoid),
        )

    async def attempt(self, slot: Slot, attempt: int) -> Attempt:
        """Send the call and wait for the service's answer until its timeout or the deadline."""
        call = self._call
        name = slot.granted.endpoint
        endpoint = self._parts.tickets.config.endpoints.get(name)
        if endpoint is None:
            return Attempt(Next.NOT_RUN, f"endpoint {name} was removed")
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
                failed = attempt_of_error(answered.err_value)
                call.sent = sent_before or failed.next is not Next.NOT_RUN
                return failed
            return Attempt(Next.DONE, value=answered.ok_value)
        return Attempt(Next.UNKNOWN, f"no answer from {name} within {timeout_s:.1f} s")

    def _tool(self) -> Tool:
        return self._call.kind.tools[self._call.request.target]
