"""Decides which requests of a customer its quota allows; does no I/O.

Requests are counted first. Only a customer that is near its limit needs a permit for each request:
its quota owner grants these from a :class:`PermitBucket`, and a gateway that reaches no owner has
:class:`OwnPermits`. In every function ``now`` is a time of the monotonic clock.
"""

from __future__ import annotations

import math
import random
from collections import deque
from hashlib import blake2b
from typing import NamedTuple
from typing import final

from bramleylead.customers import Quota

WINDOW_S = 5.0
SLOT_S = 0.1
"""Resolution of a sliding count. A count includes the whole slot in which its window begins."""
CONTENDED_SHARE = 0.7
"""Part of its allowance in use above which a customer is contended."""
UNCONTENDED_SHARE = 0.45
"""Part below which it no longer is. Usual traffic is about 0.55 and varies; each change is logged
by every gateway that serves the customer."""
REPORTED_SHARE = 0.25
"""Part above which ledger nodes report a customer's use to the gateways."""
FREE_SHARE = 0.1
FREE_REQUESTS = 4
"""What one gateway may admit in a window without asking, whatever the other gateways admit."""
MARGIN_SHARE = 0.05
MARGIN_REQUESTS = 6.0
"""Granted beyond the allowance. Permits that are lost or expire would otherwise cause refusals
within the quota; the bound of 10% and 20 requests leaves the rest to requests not yet reported."""
NEW_PROGRAM_RESERVE_S = 0.25
"""Only programs in progress may use the last permits, as many as accrue in this time."""
UNREPORTED_S = 1.25
"""A new owner assumes that others have granted the full rate for this time without a report."""
MIN_RETRY_AFTER_S = 0.25
MAX_RETRY_AFTER_S = 5.0
OWN_PERMIT_LIFETIME_S = 1.0


def owner_rank(customer: str, node: str) -> bytes:
    """Return the rank of a node for a customer; its quota owner is the node that ranks highest."""
    return blake2b(f"{customer} {node}".encode()).digest()


def with_margin(quota: Quota) -> float:
    """Return the requests that an owner lets pass in any window."""
    return quota.allowed(WINDOW_S) + margin_of(quota)


def margin_of(quota: Quota) -> float:
    """Return the requests that an owner lets pass beyond the allowance."""
    return MARGIN_SHARE * quota.allowed(WINDOW_S) + MARGIN_REQUESTS


def is_contended(requests: float, quota: Quota, *, before: bool) -> bool:
    """Return whether a customer is so near its limit that its requests need permits.

    :param requests: its requests in the last window, over all gateways.
    :param before: whether it was contended until now.
    """
    share = UNCONTENDED_SHARE if before else CONTENDED_SHARE
    return requests > share * quota.allowed(WINDOW_S)


def exceeds_free(own_requests: float, quota: Quota) -> bool:
    """Return whether one gateway admits too much of a customer to go on without asking."""
    return own_requests > max(FREE_REQUESTS, FREE_SHARE * quota.allowed(WINDOW_S))


@final
class SlidingCount:
    """The requests of the last window, in slots of equal length."""

    def __init__(self) -> None:
        self._slots: deque[list[int]] = deque()
        self._total = 0

    def add(self, count: int, *, now: float) -> None:
        """Count requests."""
        slot = int(now / SLOT_S)
        if not self._slots or self._slots[-1][0] < slot:
            self._slots.append([slot, 0])
        self._slots[-1][1] += count
        self._total += count

    def take_back(self, count: int, *, at: float) -> None:
        """Count requests no longer, the newest first that were counted up to a time."""
        last_slot = int(at / SLOT_S)
        for slot in reversed(self._slots):
            if slot[0] > last_slot:
                continue
            taken = min(count, slot[1])
            slot[1] -= taken
            self._total -= taken
            count -= taken
            if not count:
                return

    def total(self, *, now: float) -> int:
        """Return the requests of the last window."""
        oldest = int((now - WINDOW_S) / SLOT_S)
        while self._slots and self._slots[0][0] < oldest:
            self._total -= self._slots.popleft()[1]
        return self._total

    def since(self, at: float, *, now: float) -> int:
        """Return the requests of the last window that were counted at a time or later."""
        self.total(now=now)
        oldest = int(at / SLOT_S)
        return sum(count for slot, count in self._slots if slot >= oldest)


class Grant(NamedTuple):
    """Permits granted.

    :param retry_after_s: when the next one is expected; 0 if all were granted.
    """

    count: int
    retry_after_s: float


class KnownUse(NamedTuple):
    """The requests of a customer in the last window, as far as its owner knows them.

    :param free: those admitted without a permit of an owner.
    :param drawn: those admitted with the permit of any owner.
    :param drawing: all requests at the gateways that draw from this owner, as these say.
    """

    free: float = 0.0
    drawn: float = 0.0
    drawing: float = 0.0


@final
class PermitBucket:
    """The permits of one customer at its quota owner.

    The bucket spreads the permits evenly. The sliding window bounds what passes in any span: it
    also counts requests that were admitted without a permit, or with one of another owner.

    :param level: the permits that may be granted at once.
    """

    def __init__(self, quota: Quota, *, level: float, now: float) -> None:
        self._quota = quota
        self._level = min(level, self._capacity)
        self._updated_at = now
        self._granted = SlidingCount()
        self._former_limit = 0.0
        self._former_until = now
        self.drawn_at = now

    @property
    def quota(self) -> Quota:
        """The quota that the last draw named."""
        return self._quota

    @property
    def _capacity(self) -> float:
        return self._quota.burst + margin_of(self._quota)

    def granted(self, *, now: float) -> int:
        """Return the permits granted in the last window, without those given back."""
        return self._granted.total(now=now)

    def apply_quota(self, quota: Quota, *, now: float) -> None:
        """Apply the quota that a draw names.

        The rate changes at once. A lower window limit applies one window later, since what was
        allowed before would otherwise use it up.
        """
        if quota == self._quota:
            return
        former, current = with_margin(self._quota), with_margin(quota)
        if current < former:
            still_valid = self._former_limit if now < self._former_until else 0.0
            self._former_limit = max(former, still_valid)
            self._former_until = now + WINDOW_S
        self._quota = quota
        self._level = min(self._level, self._capacity)

    def give_back(self, count: int, *, now: float) -> None:
        """Take back permits that were granted in the last window and not used."""
        count = min(count, self.granted(now=now))
        self._granted.take_back(count, at=now)
        self._level = min(self._capacity, self._level + count)

    def grant(
        self, count: int, under_way: int, *, use: KnownUse, heard_share: float, now: float
    ) -> Grant:
        """Grant permits.

        :param count: the permits asked for.
        :param under_way: how many of them are for programs in progress.
        :param heard_share: the part of the gateways that has lately been heard from. The others
            may be using permits of their own.
        """
        rate_per_s = self._quota.rate_per_s * heard_share
        self._level = min(self._capacity, self._level + (now - self._updated_at) * rate_per_s)
        self._updated_at = self.drawn_at = now
        used = use.free + max(self.granted(now=now), use.drawn)
        room = self._window_limit(heard_share, now) - max(used, use.drawing)
        available = min(self._level, room)
        reserve = self._quota.rate_per_s * NEW_PROGRAM_RESERVE_S
        granted = min(under_way, max(0, math.floor(available)))
        others = max(0, math.floor(available - granted - min(reserve, self._capacity / 2)))
        granted += min(count - under_way, others)
        self._level -= granted
        self._granted.add(granted, now=now)
        if granted >= count:
            return Grant(granted, 0.0)
        missing = 1.0 + reserve - (available - granted)
        return Grant(granted, _accrual_s(missing, rate_per_s))

    def _window_limit(self, heard_share: float, now: float) -> float:
        unheard = self._quota.rate_per_s * WINDOW_S * (1.0 - heard_share)
        limit = with_margin(self._quota)
        if now < self._former_until:
            limit = max(limit, self._former_limit)
        return limit - unheard


def initial_level(quota: Quota, use: KnownUse, *, knows_use: bool) -> float:
    """Return the level with which an owner begins.

    :param knows_use: whether the owner has run so long that all gateways have reported to it.
    """
    if not knows_use:
        return 0.0
    unused = with_margin(quota) - use.free - use.drawn
    if use.drawn:
        # Another owner has granted permits that aren't reported yet.
        unused -= UNREPORTED_S * quota.rate_per_s
    return max(0.0, unused)


@final
class OwnPermits:
    """The permits of a gateway that reaches no owner: its part of the rate, without a burst.

    They begin at a random point, and an unused one lapses. Otherwise all gateways could use one
    at the same moment.
    """

    def __init__(self, rng: random.Random, *, now: float) -> None:
        self._level = rng.random()
        self._updated_at = now

    def take(self, rate_per_s: float, *, now: float) -> bool:
        """Use a permit; return whether there was one.

        :param rate_per_s: this gateway's part of the rate.
        """
        self._level += (now - self._updated_at) * rate_per_s
        self._updated_at = now
        if rate_per_s >= 1.0:
            # Room for what accrues until the next request; a lower bound would lose a part of it.
            self._level = min(self._level, 2.0)
        else:
            self._level %= 1.0 + OWN_PERMIT_LIFETIME_S * rate_per_s
        if self._level < 1.0:
            return False
        self._level = self._level - 1.0 if rate_per_s >= 1.0 else 0.0
        return True

    def retry_after_s(self, rate_per_s: float) -> float:
        """Return when the next permit is expected."""
        return _accrual_s(1.0 - self._level, rate_per_s)


def _accrual_s(permits: float, rate_per_s: float) -> float:
    if rate_per_s <= 0:
        return MAX_RETRY_AFTER_S
    return min(MAX_RETRY_AFTER_S, max(0.0, permits / rate_per_s))
