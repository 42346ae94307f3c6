"""What one gateway has admitted of one customer, its permits, and the requests that wait."""

from __future__ import annotations

import random
from collections import deque
from typing import NamedTuple
from typing import final

import anyio

from bramleylead.customers import Quota
from bramleylead.ledger._messages import DrawPermits
from bramleylead.placement._quotas import WINDOW_S
from bramleylead.placement._quotas import OwnPermits
from bramleylead.placement._quotas import SlidingCount

PERMIT_LIFETIME_S = 0.5
EXPECTED_S = 0.2
"""A draw also asks for the requests that are expected in this time."""


class Admission(NamedTuple):
    """A request that may be sent.

    :param customer: whose quota it counts towards; empty without a quota.
    :param admitted_at: when it was counted.
    :param drawn: whether it has a permit of a quota owner.
    """

    customer: str
    admitted_at: float
    drawn: bool


NOT_COUNTED = Admission("", 0.0, False)


class Refusal(NamedTuple):
    """Why a request got no permit; ``decided_by`` is a member, or empty for this gateway."""

    decided_by: str
    retry_after_s: float


class Waiter:
    """A request that waits for a permit."""

    def __init__(self, *, under_way: bool, now: float) -> None:
        self.under_way = under_way
        self.since = now
        self.decision: Admission | Refusal | None = None
        self.decided = anyio.Event()

    def decide(self, decision: Admission | Refusal) -> None:
        """End the wait."""
        self.decision = decision
        self.decided.set()


@final
class CustomerState:
    """What this gateway has admitted of one customer, and its permits."""

    def __init__(self, quota: Quota, rng: random.Random, *, now: float) -> None:
        self.quota = quota
        self.free = SlidingCount()
        self.drawn = SlidingCount()
        self.own_permits = OwnPermits(rng, now=now)
        self.permits: deque[tuple[float, int]] = deque()
        self.returned = 0
        self.waiters: list[Waiter] = []
        self.is_drawing = False
        self.contended = False
        self.used_at = now

    def give_back(self, admission: Admission) -> None:
        """Count a request no longer; a permit that it had may be used for another one."""
        count = self.drawn if admission.drawn else self.free
        count.take_back(1, at=admission.admitted_at)
        if admission.drawn:
            self.permits.appendleft((admission.admitted_at + PERMIT_LIFETIME_S, 1))

    def recent(self, *, now: float) -> int:
        """Return the requests of the last window."""
        return self.free.total(now=now) + self.drawn.total(now=now)

    def take_permit(self, *, now: float) -> bool:
        """Use a permit drawn before; return whether there was one."""
        while self.permits:
            expires_at, count = self.permits.popleft()
            if expires_at <= now:
                self.returned += count
                continue
            if count > 1:
                self.permits.appendleft((expires_at, count - 1))
            return True
        return False

    def take_returned(self, *, now: float) -> int:
        """Return how many permits have expired without use, each once."""
        while self.permits and self.permits[0][0] <= now:
            self.returned += self.permits.popleft()[1]
        returned, self.returned = self.returned, 0
        return returned

    def draw_request(
        self,
        customer: str,
        asking: list[Waiter],
        *,
        gateway: str,
        unreported_since: float,
        now: float,
    ) -> DrawPermits:
        """Return the draw for requests that wait, which gives back the permits that expired."""
        recent = self.recent(now=now)
        return DrawPermits(
            customer,
            self.quota.rate_per_s,
            self.quota.burst,
            count=len(asking) + int(recent * EXPECTED_S / WINDOW_S),
            under_way=sum(waiter.under_way for waiter in asking),
            gateway=gateway,
            recent=recent,
            unreported=self.free.since(unreported_since, now=now),
            returned=self.take_returned(now=now),
        )

    def admit(self, *, drawn: bool, now: float, customer: str) -> Admission:
        """Count a request as sent."""
        (self.drawn if drawn else self.free).add(1, now=now)
        return Admission(customer, now, drawn)
