"""Gathers what a gateway knows for each decision whether a request may start, and logs refusals."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import final

import anyio
import structlog

from bramleylead.customers import Customer
from bramleylead.gateway._call import Call
from bramleylead.gateway._replica_choice import ReplicaChoice
from bramleylead.placement._admission import Progress
from bramleylead.placement._admission import Refusal
from bramleylead.placement._admission import ServiceLoad
from bramleylead.placement._admission import Standing
from bramleylead.placement._admission import check_admission
from bramleylead.placement._admission import check_customer_admission
from bramleylead.placement._admission import check_plain_admission
from bramleylead.placement._customer_use import NO_USE
from bramleylead.placement._customer_use import CustomerUse
from bramleylead.placement._customer_use import Use
from bramleylead.placement._customer_use import unknown_use
from bramleylead.placement._program_times import ProgramTimes
from bramleylead.placement._rate_limits import RateLimits
from bramleylead.platform._types import CallKind
from bramleylead.platform._types import Configuration

PLAIN_CALL_S = 0.1
"""About how long a plain call takes; it only sets when a refused caller returns."""

log = structlog.get_logger()


@final
class AdmissionControl:
    """Decides whether requests may start.

    :param use_of: returns the use of a customer over all gateways; 0 if unknown.
    """

    def __init__(
        self,
        choice: ReplicaChoice,
        limits: RateLimits,
        rng: random.Random,
        use_of: Callable[[Customer], float] = unknown_use,
    ) -> None:
        self._choice = choice
        self._limits = limits
        self._rng = rng
        self._use = CustomerUse(use_of)
        self._times = ProgramTimes()

    def record_sent(self, call: Call) -> None:
        """Count a request that is sent to a replica in the use of its customer."""
        if call.customer is not None:
            self._use.record_request(call.customer, now=anyio.current_time())

    def check_turn(
        self, call: Call, service: str, progress: Progress, *, turn_s: float
    ) -> Refusal | None:
        """Return a refusal if a turn should not start now.

        :param turn_s: how long a turn takes on average.
        """
        if not call.configuration.customers.all:
            return self._check_without_customers(call, service, progress, turn_s)
        standing = self._standing(call, service, progress)
        load = self._choice.service_load(call, service, turn_s=turn_s)
        refusal = check_customer_admission(load, progress, standing, turn_s=turn_s, rng=self._rng)
        if refusal is not None:
            self._log(call, refusal, load, progress, standing, turn_s)
        elif call.customer is not None and not standing.begun:
            self._use.record_start(call.customer, now=anyio.current_time())
        return refusal

    def check_plain(self, call: Call, service: str) -> Refusal | None:
        """Return a refusal if a plain call should leave room for those of programs."""
        if not call.configuration.customers.all or call.metadata.program:
            return None
        load = self._choice.service_load(call, service, turn_s=PLAIN_CALL_S)
        use = self._use_of(call)
        refusal = check_plain_admission(
            load, use, in_program=False, request_s=PLAIN_CALL_S, rng=self._rng
        )
        if refusal is not None:
            log.info(
                "plain_call_not_admitted",
                request=call.metadata.request_id,
                customer=call.turn_owner,
                kind=refusal.reason,
                **_load_fields(load, self._choice.load_age_s),
                **_use_fields(use),
                retry_after_s=round(refusal.retry_after_s, 3),
            )
        return refusal

    def _check_without_customers(
        self, call: Call, service: str, progress: Progress, turn_s: float
    ) -> Refusal | None:
        if call.metadata.previous_turn:
            return None
        return check_admission(
            self._choice.service_load(call, service, turn_s=turn_s),
            progress,
            less_urgent_priorities=_less_urgent(call.priority, call.configuration, service),
            turn_s=turn_s,
            rng=self._rng,
        )

    def _standing(self, call: Call, service: str, progress: Progress) -> Standing:
        now = anyio.current_time()
        owner, program = call.turn_owner or "", call.metadata.program
        if not progress.turns:
            self._times.record_begin(owner, program, call.metadata.finish_s, now=now)
        value_left_s = self._times.value_left_s(owner, program, now=now)
        return Standing(
            use=self._use_of(call),
            less_urgent_priorities=_less_urgent(call.priority, call.configuration, service),
            begun=bool(progress.turns or call.metadata.previous_turn),
            left_s=min(call.remaining_s, value_left_s),
            value_left_s=value_left_s,
        )

    def _use_of(self, call: Call) -> Use:
        if call.customer is None:
            return NO_USE
        return self._use.use(
            call.customer,
            customers=len(call.configuration.customers.all),
            traffic_share=self._limits.share,
            now=anyio.current_time(),
        )

    def _log(
        self,
        call: Call,
        refusal: Refusal,
        load: ServiceLoad,
        progress: Progress,
        standing: Standing,
        turn_s: float,
    ) -> None:
        log.info(
            "turn_not_admitted",
            request=call.metadata.request_id,
            program=call.metadata.program,
            customer=call.turn_owner,
            kind=refusal.reason,
            **_load_fields(load, self._choice.load_age_s),
            **_use_fields(standing.use),
            turns=progress.turns,
            refusals=progress.refusals,
            priority=call.priority,
            less_urgent=standing.less_urgent_priorities,
            left_s=round(standing.left_s, 3),
            turn_s=round(turn_s, 3),
            configuration=call.configuration.version,
            retry_after_s=round(refusal.retry_after_s, 3),
        )


def _load_fields(load: ServiceLoad, age_s: float | None) -> dict[str, float | None]:
    return {
        "running": round(load.running, 1),
        "slots": round(load.slots, 1),
        "load_age_s": None if age_s is None else round(age_s, 3),
    }


def _use_fields(use: Use) -> dict[str, float]:
    return {
        "own_use": round(use.own, 2),
        "fleet_use": round(use.fleet, 2),
        "tolerance": round(use.tolerance, 2),
        "surge": round(use.surge, 2),
        "surge_tolerance": round(use.surge_tolerance, 2),
    }


def _less_urgent(priority: int, configuration: Configuration, service: str) -> int:
    """Return how many priorities of a service's requests are less urgent than one."""
    priorities = {
        route.priority
        for route in configuration.routes
        if route.kind is CallKind.STREAM and any(s.service == service for s in route.shares)
    }
    customers = configuration.customers.all
    priorities |= {found.priority for found in customers if found.priority is not None}
    return sum(other > priority for other in priorities)
