"""Admits the requests of customers that have a quota, and refuses those beyond it.

The requests of a customer that is far from its limit are only counted. Near the limit each one
needs a permit of the customer's quota owner, a member of the ledger. A gateway that reaches no
owner has a small part of the rate of its own.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Mapping
from typing import final

import anyio
import structlog
from anyio.abc import TaskGroup
from result import Err
from result import Ok
from result import Result

from bramleylead.connection import PeerClient
from bramleylead.customers import Customer
from bramleylead.customers import Quota
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.gateway._call import Call
from bramleylead.gateway._customer_permits import NOT_COUNTED
from bramleylead.gateway._customer_permits import PERMIT_LIFETIME_S
from bramleylead.gateway._customer_permits import Admission
from bramleylead.gateway._customer_permits import CustomerState
from bramleylead.gateway._customer_permits import Refusal
from bramleylead.gateway._customer_permits import Waiter
from bramleylead.gateway._permit_draws import Drawn
from bramleylead.gateway._permit_draws import Members
from bramleylead.gateway._permit_draws import PermitDraws
from bramleylead.ledger._customer_usage import CustomerCount
from bramleylead.ledger._mirror import Mirrored
from bramleylead.placement._quotas import MAX_RETRY_AFTER_S
from bramleylead.placement._quotas import MIN_RETRY_AFTER_S
from bramleylead.placement._quotas import WINDOW_S
from bramleylead.placement._quotas import exceeds_free
from bramleylead.placement._quotas import is_contended
from bramleylead.supervision import contain

MAX_KNOWN_AGE_S = 0.9
"""A gateway whose knowledge of the customers' use is older asks for each request. Each of two
kinds of objects is queried at least every 0.8 s, and refreshes it."""
AFTER_FAILURE_S = 1.0
"""A gateway that has failed to reach a quota owner may be cut off from the ledger. For this time it
asks for each request of any customer."""
SHARED_AFTER_S = 0.3
"""Until a node has told the others what a gateway has reported to it."""
PERMIT_WAIT_S = 0.2
"""A request of a program in progress waits so long for its permit to accrue."""
RETRY_SPREAD = 0.5
"""Callers refused at the same moment return over this part of the delay."""
UNKNOWN_GATEWAYS = 10
"""Assumed before a ledger node has told the number."""
IDLE_LIFETIME_S = 60.0

log = structlog.get_logger()


@final
class CustomerQuotas:
    """Applies the quotas of customers at one gateway.

    :param ledger: the members of the ledger, one of which is a customer's quota owner.
    :param gateway: the name of this gateway.
    :param has_quotas: whether the configuration has quotas, or isn't known yet.
    :param tasks: draws permits in the background, so that a caller that leaves interrupts no draw.
    """

    def __init__(
        self,
        peers: PeerClient,
        ledger: Members,
        *,
        gateway: str,
        has_quotas: Callable[[], bool],
        tasks: TaskGroup,
        rng: random.Random,
    ) -> None:
        self._has_quotas = has_quotas
        self._draws = PermitDraws(peers, ledger)
        self._gateway = gateway
        self._tasks = tasks
        self._rng = rng
        self._states: dict[str, CustomerState] = {}
        self._uses: dict[str, float] = {}
        self._known_at = float("-inf")
        self._gateways = UNKNOWN_GATEWAYS
        self._own_permits_used = 0
        self._refusals = 0

    def gauges(self) -> Mapping[str, float]:
        """Return the values of this gateway's metrics."""
        return {
            "quota_customers_contended": sum(own.contended for own in self._states.values()),
            "quota_draws": self._draws.draws,
            "quota_draws_failed": self._draws.failed,
            "quota_permits_drawn": self._draws.granted,
            "quota_own_permits_used": self._own_permits_used,
            "quota_refusals": self._refusals,
            "quota_gateways_known": self._gateways,
            "quota_use_age_s": min(1e6, anyio.current_time() - self._known_at),
        }

    def use_of(self, customer: Customer) -> float:
        """Return a customer's requests of the last 5 s over all gateways, relative to its rate.

        0 if it has no quota, or if less than a quarter of its allowance is in use.
        """
        if customer.quota is None:
            return 0.0
        return self._uses.get(customer.name, 0.0) / (customer.quota.rate_per_s * WINDOW_S)

    async def admit(self, call: Call, *, under_way: bool) -> Result[Admission, Failure]:
        """Count a request that is about to be sent, or refuse it.

        :param under_way: whether it belongs to a program in progress.
        """
        customer = call.customer
        if customer is None or customer.quota is None:
            return Ok(NOT_COUNTED)
        now = anyio.current_time()
        state = self._state_of(customer.name, customer.quota, now)
        if not self._needs_permit(state, now):
            return Ok(state.admit(drawn=False, now=now, customer=customer.name))
        if not state.waiters and state.take_permit(now=now):
            return Ok(state.admit(drawn=True, now=now, customer=customer.name))
        decision = await self._wait_for_permit(customer.name, state, under_way=under_way)
        if isinstance(decision, Admission):
            return Ok(decision)
        return Err(self._refuse(call, customer, state, decision, under_way=under_way, since=now))

    def give_back(self, admission: Admission) -> None:
        """Count a request no longer that was not sent, or that no replica has run."""
        state = self._states.get(admission.customer)
        if state is not None:
            state.give_back(admission)

    def report(self) -> tuple[CustomerCount, ...] | None:
        """Return the requests of the last 5 s; ``None`` if no customer has a quota."""
        now = anyio.current_time()
        self._forget_idle(now)
        if not self._has_quotas():
            return None
        counts = []
        for name, state in self._states.items():
            free, drawn = state.free.total(now=now), state.drawn.total(now=now)
            if free or drawn:
                counts.append(CustomerCount(name, free, drawn, state.quota.allowed(WINDOW_S)))
        return tuple(counts)

    def record_answer(self, mirrored: Mirrored, *, asked_at: float) -> None:
        """Record what a ledger node knows of the customers' use.

        :param asked_at: when this gateway's own counts were reported.
        """
        if not mirrored.gateways:
            return
        self._uses = {use.customer: use.requests for use in mirrored.customers}
        self._known_at = asked_at + mirrored.waited_s
        self._gateways = mirrored.gateways
        self._draws.record_able(mirrored.quota_owners)
        for name, state in self._states.items():
            contended = is_contended(self._uses.get(name, 0.0), state.quota, before=state.contended)
            self._set_contended(name, state, contended, source="report")

    def _state_of(self, name: str, quota: Quota, now: float) -> CustomerState:
        state = self._states.get(name)
        if state is None:
            state = self._states[name] = CustomerState(quota, self._rng, now=now)
            contended = is_contended(self._uses.get(name, 0.0), quota, before=False)
            self._set_contended(name, state, contended, source="report")
        state.quota = quota
        state.used_at = now
        return state

    def _needs_permit(self, state: CustomerState, now: float) -> bool:
        return (
            state.contended
            or now - self._known_at > MAX_KNOWN_AGE_S
            or now - self._draws.failed_at < AFTER_FAILURE_S
            or exceeds_free(state.recent(now=now), state.quota)
        )

    async def _wait_for_permit(
        self, name: str, state: CustomerState, *, under_way: bool
    ) -> Admission | Refusal:
        waiter = Waiter(under_way=under_way, now=anyio.current_time())
        state.waiters.append(waiter)
        if not state.is_drawing:
            state.is_drawing = True
            self._tasks.start_soon(contain, "draw_permits", self._draw, name, state)
        try:
            await waiter.decided.wait()
        except BaseException:
            # The caller has left: nothing is sent.
            if waiter.decision is None:
                state.waiters.remove(waiter)
            elif isinstance(waiter.decision, Admission):
                self.give_back(waiter.decision)
            raise
        assert waiter.decision is not None
        return waiter.decision

    async def _draw(self, name: str, state: CustomerState) -> None:
        """Draw permits until no request waits for one."""
        try:
            while state.waiters:
                asking = list(state.waiters)
                now = anyio.current_time()
                # Requests admitted without a permit since then can't be known elsewhere yet.
                since = max(self._known_at, now - MAX_KNOWN_AGE_S) - SHARED_AFTER_S
                request = state.draw_request(
                    name, asking, gateway=self._gateway, unreported_since=since, now=now
                )
                drawn = await self._draws.draw(request)
                if drawn is None:
                    state.returned += request.returned
                    self._use_own_permits(name, state, asking)
                    continue
                self._distribute(name, state, asking, drawn)
                if state.waiters and drawn.permits.retry_after_s:
                    await anyio.sleep(min(PERMIT_WAIT_S, drawn.permits.retry_after_s))
        finally:
            state.is_drawing = False
            for waiter in state.waiters:
                waiter.decide(Refusal("", MIN_RETRY_AFTER_S))
            state.waiters.clear()

    def _distribute(
        self, name: str, state: CustomerState, asking: list[Waiter], drawn: Drawn
    ) -> None:
        """Give the permits to the requests that waited, programs in progress first."""
        now = anyio.current_time()
        self._set_contended(name, state, state.contended or drawn.permits.contended, source="owner")
        left = drawn.permits.granted
        waiting = [waiter for waiter in asking if waiter in state.waiters]
        for waiter in sorted(waiting, key=lambda waiter: not waiter.under_way):
            may_wait_s = waiter.since + PERMIT_WAIT_S - now if waiter.under_way else 0.0
            if left:
                left -= 1
                waiter.decide(state.admit(drawn=True, now=now, customer=name))
            elif drawn.permits.retry_after_s < may_wait_s:
                continue
            else:
                waiter.decide(Refusal(drawn.member, drawn.permits.retry_after_s))
            state.waiters.remove(waiter)
        if left:
            state.permits.append((now + PERMIT_LIFETIME_S, left))

    def _use_own_permits(self, name: str, state: CustomerState, asking: list[Waiter]) -> None:
        now = anyio.current_time()
        rate_per_s = state.quota.rate_per_s / max(1, self._gateways)
        waiting = [waiter for waiter in asking if waiter in state.waiters]
        for waiter in sorted(waiting, key=lambda waiter: not waiter.under_way):
            if state.own_permits.take(rate_per_s, now=now):
                self._own_permits_used += 1
                waiter.decide(state.admit(drawn=False, now=now, customer=name))
            else:
                waiter.decide(Refusal("", state.own_permits.retry_after_s(rate_per_s)))
            state.waiters.remove(waiter)

    def _set_contended(
        self, name: str, state: CustomerState, contended: bool, *, source: str
    ) -> None:
        if contended == state.contended:
            return
        state.contended = contended
        log.info(
            "customer_contended" if contended else "customer_uncontended",
            customer=name,
            told_by=source,
            **self._inputs(name, state),
        )

    def _refuse(
        self,
        call: Call,
        customer: Customer,
        state: CustomerState,
        refusal: Refusal,
        *,
        under_way: bool,
        since: float,
    ) -> Failure:
        self._refusals += 1
        spread = self._rng.uniform(1.0, 1.0 + RETRY_SPREAD)
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, refusal.retry_after_s))
        retry_after_s = round(retry_after_s * spread, 3)
        log.info(
            "quota_refused",
            request=call.metadata.request_id,
            program=call.metadata.program,
            customer=customer.name,
            kind="owner" if refusal.decided_by else "own_permits",
            member=refusal.decided_by,
            configuration=call.configuration.version,
            under_way=under_way,
            waited_s=round(anyio.current_time() - since, 3),
            retry_after_s=retry_after_s,
            **self._inputs(customer.name, state),
        )
        quota = state.quota
        reason = (
            "is used up"
            if refusal.decided_by
            else "can't be checked with the ledger; this gateway's part of it is used up"
        )
        detail = (
            f"customer {customer.name}: the quota of {quota.rate_per_s:g} requests a second and "
            f"{quota.burst:g} at once {reason}"
        )
        return Failure(ErrorKind.QUOTA_EXCEEDED, detail, retry_after_s)

    def _inputs(self, name: str, state: CustomerState) -> dict[str, float | None]:
        """Return what a decision is based on, for the log."""
        now = anyio.current_time()
        age_s = now - self._known_at
        return {
            "used": self._uses.get(name, 0.0),
            "used_age_s": round(age_s, 3) if age_s < float("inf") else None,
            "own_used": state.recent(now=now),
            "rate_per_s": state.quota.rate_per_s,
            "burst": state.quota.burst,
            "gateways": self._gateways,
            "ledger_epoch": self._draws.ledger_epoch,
        }

    def _forget_idle(self, now: float) -> None:
        for name in [
            name
            for name, state in self._states.items()
            if not state.is_drawing and now - state.used_at > IDLE_LIFETIME_S
        ]:
            del self._states[name]
