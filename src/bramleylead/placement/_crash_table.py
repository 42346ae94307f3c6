"""Recognises requests that crash the replicas that run them.

Answers one request after which replica after replica crashes. Several requests run at a replica
when it crashes, and most of them are innocent. What tells them apart is that the others are
answered elsewhere, while the one that is to blame is there again when the next replica crashes. A
request that was running at several crashes is held back, for longer with each crash; one that is
answered is cleared.

A request is recognised by a digest of all of it, and by one of its beginning, which the next turns
of the same conversation share. Innocent requests may begin alike, too: a beginning of which any
request was lately answered holds nothing back.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple
from typing import final

WEIGHT_BEFORE_EVENTS = 1.0
WEIGHT_AFTER_EVENTS = 0.5
"""A request that has begun to answer ran for a while, so the crash is less likely its fault."""
MIN_BLOCKING_WEIGHT = 2.0
MAX_BLOCKING_WEIGHT = 3.0
"""Two innocent requests may meet the one to blame at the next replica; hardly one at two more."""
BLOCKING_SHARE = 1 / 3
"""A request is held back once it may have crashed this share of its service's replicas."""
HOLDS_S = (10.0, 120.0, 1_440.0, 17_280.0)
"""How long a request is held back after two crashes, three, and so on, at the least."""
HOLD_SPREAD = 1.0
"""Gateways hold a request back for up to this share longer, each for another time: the first one
that sends it again tells the others what came of it."""
SPREAD_BYTES = 4
LIFETIME_S = 3_600.0
"""A crash counts for this time, or as long as the request is held back."""
CLEARED_LIFETIME_S = 30.0
"""For this time, evidence of earlier crashes that is still passed on is ignored."""
MAX_SUSPECTS = 4_096
PASS_ON_S = 3.0
"""New evidence is passed on for this time, so that a gateway that misses an answer gets it."""
MAX_PASSED_ON = 256
MAX_ANSWERED = 4_096
NEVER_S = float("inf")


class CrashEvidence(NamedTuple):
    """The crashes at which a request was running, as nodes pass them on.

    :param fingerprint: a digest of the request or of its beginning.
    :param replicas: the weight of each crash, by replica.
    :param age_s: seconds since the last crash.
    :param cleared_age_s: seconds since the request was answered; earlier crashes don't count.
    """

    fingerprint: bytes
    replicas: dict[str, float]
    age_s: float = NEVER_S
    cleared_age_s: float = NEVER_S


class _Suspect:
    """The crashes at which one request was running."""

    def __init__(self) -> None:
        self.replicas: dict[str, float] = {}
        self.crashed_at = float("-inf")
        self.cleared_at = float("-inf")
        self.changed_at = float("-inf")

    @property
    def weight(self) -> float:
        """The sum of the crashes' weights."""
        return sum(self.replicas.values())

    def blocked_until(self, blocking_weight: float, *, spread: float = 0.0) -> float:
        """Return the time until which the request is held back; ``-inf`` if it is not.

        :param spread: the share by which it is held back longer than at the least.
        """
        if self.weight < blocking_weight:
            return float("-inf")
        hold = min(len(self.replicas) - 2, len(HOLDS_S) - 1)
        return self.crashed_at + HOLDS_S[max(0, hold)] * (1.0 + spread)

    @property
    def expires_at(self) -> float:
        """The time from which the crashes, or their being cleared, no longer count."""
        if not self.replicas:
            return self.cleared_at + CLEARED_LIFETIME_S
        return max(self.crashed_at + LIFETIME_S, self.blocked_until(MIN_BLOCKING_WEIGHT))


@final
class CrashTable:
    """The requests that one process suspects, by fingerprint; those that crashed last come last.

    :param node: the process, which holds requests back for another time than other ones.
    """

    def __init__(self, node: str = "") -> None:
        self._node = node
        self._suspects: OrderedDict[bytes, _Suspect] = OrderedDict()
        self._unshared: set[bytes] = set()

    def __len__(self) -> int:
        return len(self._suspects)

    def merge(self, evidence: CrashEvidence, *, now: float) -> None:
        """Add what is known elsewhere, or has just been seen; its order doesn't matter."""
        if not evidence.replicas and evidence.cleared_age_s == NEVER_S:
            return
        suspect = self._suspects.setdefault(evidence.fingerprint, _Suspect())
        before = (dict(suspect.replicas), suspect.cleared_at)
        suspect.cleared_at = max(suspect.cleared_at, now - evidence.cleared_age_s)
        crashed_at = now - evidence.age_s
        if crashed_at > suspect.cleared_at:
            suspect.replicas |= evidence.replicas
            suspect.crashed_at = max(suspect.crashed_at, crashed_at)
        if suspect.crashed_at <= suspect.cleared_at:
            suspect.replicas = {}
        if (suspect.replicas, suspect.cleared_at) != before:
            suspect.changed_at = now
            self._suspects.move_to_end(evidence.fingerprint)
            self._drop_oldest(now)

    def merge_all(self, found: Iterable[CrashEvidence], *, now: float) -> None:
        """Add what is known elsewhere of several requests."""
        for evidence in found:
            self.merge(evidence, now=now)

    def merge_reports(self, found: Iterable[CrashEvidence], *, now: float) -> None:
        """Add what a gateway reports; it is passed on by :meth:`take_unshared`."""
        for evidence in found:
            self.merge(evidence, now=now)
            if evidence.fingerprint in self._suspects:
                self._unshared.add(evidence.fingerprint)

    def take_unshared(self, *, now: float) -> tuple[CrashEvidence, ...]:
        """Return what gateways have reported since the last call."""
        fingerprints, self._unshared = self._unshared, set()
        return tuple(self.evidence(fingerprint, now=now) for fingerprint in sorted(fingerprints))

    def evidence(self, fingerprint: bytes, *, now: float) -> CrashEvidence:
        """Return what is known of a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.expires_at < now:
            return CrashEvidence(fingerprint, {})
        return CrashEvidence(
            fingerprint,
            dict(suspect.replicas),
            now - suspect.crashed_at,
            now - suspect.cleared_at,
        )

    def news(self, *, now: float) -> tuple[CrashEvidence, ...]:
        """Return the requests that may lately have come to be held back, or were cleared."""
        recent = []
        for fingerprint, suspect in reversed(self._suspects.items()):
            if now - suspect.changed_at > PASS_ON_S or len(recent) == MAX_PASSED_ON:
                break
            if suspect.blocked_until(MIN_BLOCKING_WEIGHT) > now or not suspect.replicas:
                recent.append(self.evidence(fingerprint, now=now))
        return tuple(recent)

    def all_blocked(self, *, now: float) -> tuple[CrashEvidence, ...]:
        """Return the requests that may be held back, for a process that knows of none."""
        return tuple(
            self.evidence(fingerprint, now=now)
            for fingerprint, suspect in self._suspects.items()
            if suspect.blocked_until(MIN_BLOCKING_WEIGHT) > now
        )

    def is_suspect(self, fingerprint: bytes, *, now: float) -> bool:
        """Return whether a request was running when a replica crashed, and not answered since."""
        return bool(self.evidence(fingerprint, now=now).replicas)

    def hold_s(self, fingerprint: bytes, *, replicas: int, now: float) -> float:
        """Return how long a request must not be sent to any replica; 0 if it may be sent.

        :param replicas: how many replicas its service has.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return 0.0
        spread = self._spread(fingerprint)
        blocked_until = suspect.blocked_until(_blocking_weight(replicas), spread=spread)
        return max(0.0, blocked_until - now)

    def _spread(self, fingerprint: bytes) -> float:
        """Return how much longer than at the least this process holds a request back."""
        digest = blake2b(self._node.encode() + fingerprint, digest_size=SPREAD_BYTES).digest()
        return HOLD_SPREAD * int.from_bytes(digest) / 256**SPREAD_BYTES

    def _drop_oldest(self, now: float) -> None:
        while self._suspects:
            oldest = next(iter(self._suspects.values()))
            if len(self._suspects) <= MAX_SUSPECTS and oldest.expires_at >= now:
                return
            fingerprint, _ = self._suspects.popitem(last=False)
            self._unshared.discard(fingerprint)


def _blocking_weight(replicas: int) -> float:
    share = float(int(replicas * BLOCKING_SHARE))
    return min(MAX_BLOCKING_WEIGHT, max(MIN_BLOCKING_WEIGHT, share))


@final
class RecentAnswers:
    """Beginnings of requests that were lately answered, which many requests may share."""

    def __init__(self) -> None:
        self._beginnings: OrderedDict[bytes, None] = OrderedDict()

    def record(self, beginning: bytes) -> None:
        """Record that a request was answered."""
        self._beginnings[beginning] = None
        self._beginnings.move_to_end(beginning)
        if len(self._beginnings) > MAX_ANSWERED:
            self._beginnings.popitem(last=False)

    def __contains__(self, beginning: bytes) -> bool:
        return beginning in self._beginnings
