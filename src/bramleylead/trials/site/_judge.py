"""Judges a soak by what callers and replicas saw, while it runs."""

from __future__ import annotations

from typing import NamedTuple
from typing import final

import anyio

APPLY_S = 3.0
"""So long after an operator's change no gateway at peace may act on the former state."""
REGRESS_S = 0.5
EVENT_TOKENS = 10


class Finding(NamedTuple):
    """One broken promise."""

    promise: str
    detail: str
    at_s: float


class _Run(NamedTuple):
    replica: str
    service: str
    gateway: str


class _Told(NamedTuple):
    """The operator's word on a matter, and when the store acknowledged it."""

    what: str
    at: float


@final
class Judge:
    """What was asked, run and answered; each broken promise is a finding."""

    def __init__(self) -> None:
        self._began_at = anyio.current_time()
        self._runs: dict[str, list[_Run]] = {}
        self._repeatable: set[str] = set()
        self._not_run: set[str] = set()
        self._chains: dict[str, bytes] = {}
        self._expected: dict[str, bytes] = {}
        self._handed: dict[str, int] = {}
        self._sent: dict[str, tuple[str, float]] = {}
        self._services: list[_Told] = []
        self._drained: dict[str, float] = {}
        self._newest: dict[str, tuple[int, float]] = {}
        self._uneasy_until: dict[str, float] = {}
        self.findings: list[Finding] = []
        self.answers: dict[int, int] = {}

    def unsettle(self, gateways: list[str], until: float) -> None:
        """Hold no bound on time against gateways that a fault touches until a moment."""
        for gateway in gateways:
            before = self._uneasy_until.get(gateway, 0.0)
            self._uneasy_until[gateway] = max(before, until)

    def restarted(self, gateway: str) -> None:
        """Take in that a gateway's process ended: a new one may know less."""
        self._newest.pop(gateway, None)

    def moved(self, service: str) -> None:
        """Take in that the operator has moved the plain routes to a service."""
        self._services.append(_Told(service, anyio.current_time()))

    def drained(self, replica: str) -> None:
        """Take in that the store has a replica for leaving."""
        self._drained[replica] = anyio.current_time()

    def asked(self, request: str, gateway: str, *, repeatable: bool) -> None:
        """Take in a caller's attempt."""
        self._sent[request] = (gateway, anyio.current_time())
        if repeatable:
            self._repeatable.add(request)

    def expect_body(self, request: str, body: bytes) -> None:
        """Say what a replica must get for a turn: its chain, then its own input."""
        self._expected[request] = body

    def ran(self, request: str, replica: str, service: str, body: bytes) -> None:
        """Take in that a replica begins work on a request."""
        sent = self._sent.get(request)
        if sent is None:
            self._find("unasked", f"{replica} runs {request}, which no caller sent")
            return
        gateway, sent_at = sent
        runs = self._runs.setdefault(request, [])
        runs.append(_Run(replica, service, gateway))
        if len(runs) > 1 and request not in self._repeatable:
            self._find("at most once", f"{request} runs again: {runs}")
        if request in self._not_run:
            self._find("not run", f"{request} runs at {replica} after it was refused as not run")
        expected = self._expected.get(request)
        if expected is not None and body != expected:
            self._find("history", f"{request}: {body!r} at {replica} instead of {expected!r}")
        self._check_drained(request, replica, gateway, sent_at)
        self._check_service(request, service, gateway, sent_at)

    def answered(self, request: str, status: int, body: bytes, *, whole: bool) -> None:
        """Take in what a caller got for an attempt; status 0 if its connection just ended."""
        self.answers[status] = self.answers.get(status, 0) + 1
        if status in (402, 429, 503):
            self._not_run.add(request)
            if self._runs.get(request):
                self._find("not run", f"{request} answered {status}, ran: {self._runs[request]}")
        if status == 200 and whole and body != answer_of(request):
            self._find("whole answers", f"{request}: {body!r} is not its answer")
        if status == 200 and not whole and not answer_of(request).startswith(body):
            self._find("whole answers", f"{request}: {body!r} is no beginning of its answer")

    def handed(self, program: str, tokens: int, *, budget: int, most: int) -> None:
        """Take in tokens that a caller got for a program's turn."""
        self._handed[program] = self._handed.get(program, 0) + tokens
        if self._handed[program] > budget + most:
            detail = f"{program} was handed {self._handed[program]} on a budget of {budget}"
            self._find("budget", detail)

    def lost(self, request: str, previous: str) -> None:
        """Take in that a turn was said not to exist although it was answered whole."""
        self._find("kept turns", f"{request}: {previous} was answered whole and is not found")

    def ended(self, node: str, detail: str) -> None:
        """Take in that a process ended without being asked to, or otherwise than asked."""
        self._find("runs on", f"{node}: {detail}")

    def unready(self, gateway: str) -> None:
        """Take in that a gateway did not become ready after the last fault."""
        self._find("becomes ready", gateway)

    def _check_drained(self, request: str, replica: str, gateway: str, sent_at: float) -> None:
        drained_at = self._drained.get(replica)
        if drained_at is None or not self._at_peace(gateway):
            return
        if sent_at > drained_at + APPLY_S:
            late_s = sent_at - drained_at
            self._find("draining", f"{request} by {gateway} at {replica}, {late_s:.1f} s late")

    def _check_service(self, request: str, service: str, gateway: str, sent_at: float) -> None:
        number = max(
            (i for i, told in enumerate(self._services) if told.what == service), default=None
        )
        if number is None:
            return
        now = anyio.current_time()
        newest, since = self._newest.get(gateway, (0, now))
        if number < newest and sent_at > since + REGRESS_S:
            self._find("configuration", f"{request}: {gateway} went back to {service}")
        if number > newest:
            self._newest[gateway] = (number, now)
        later = self._services[number + 1 :]
        if later and sent_at > later[0].at + APPLY_S and self._at_peace(gateway):
            self._find("configuration", f"{request}: {gateway} still uses {service}")

    def _at_peace(self, gateway: str) -> bool:
        return anyio.current_time() > self._uneasy_until.get(gateway, 0.0)

    def _find(self, promise: str, detail: str) -> None:
        at_s = anyio.current_time() - self._began_at
        self.findings.append(Finding(promise, detail, round(at_s, 2)))


def words_of(request: str) -> list[str]:
    """Return the words of a request's answer, which tell it from every other one."""
    return [f"{request}.{number}" for number in range(1, 6)]


def event(number: int, word: str) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {word}\n\n".encode()


def answer_of(request: str) -> bytes:
    """Return the whole answer to a request: plain ones name their kind in the id."""
    if request.startswith("plain"):
        return f"done {request}".encode()
    return b"".join(event(number, word) for number, word in enumerate(words_of(request), 1))


def made_by(request: str) -> bytes:
    """Return what a turn adds to its chain: the data of its events, a line each."""
    return "".join(f"{word}\n" for word in words_of(request)).encode()
