"""The tickets in force on this node: applied one by one, in number order, never back."""

from __future__ import annotations

import hashlib
from typing import final

import anyio
import structlog
from pydantic import ValidationError

from bramleylead.promises import Promise
from bramleylead.promises import Promises
from bramleylead.version import Config
from bramleylead.version import Ticket
from bramleylead.version import apply_ticket

KEPT_TICKETS = 256
KEPT_BYTES = 2_000_000
WAITING_LIMIT = 64

log = structlog.get_logger()


def digest_of(body: bytes) -> str:
    """Return the digest by which operators tell tickets apart."""
    return hashlib.sha256(body).hexdigest()


@final
class AppliedTickets:
    """The configuration in force, the last tickets' bodies, and those that wait for a gap."""

    def __init__(self, promises: Promises) -> None:
        self._promises = promises
        self._config = Config()
        self._bodies: dict[int, bytes] = {}
        self._kept_bytes = 0
        self._waiting: dict[int, bytes] = {}
        self._changed = anyio.Event()
        self.stuck = ""

    @property
    def config(self) -> Config:
        """The configuration after the last ticket that was applied."""
        return self._config

    @property
    def number(self) -> int:
        """The number in force."""
        return self._config.number

    @property
    def waiting(self) -> list[int]:
        """Numbers that are known and wait for a lower one."""
        return sorted(self._waiting)

    def body(self, number: int) -> bytes | None:
        """Return the body of a recent ticket."""
        return self._bodies.get(number) or self._waiting.get(number)

    def bodies_after(self, number: int, *, limit_bytes: int) -> list[bytes]:
        """Return bodies of the tickets in force after a number, in order, at least one."""
        found: list[bytes] = []
        for wanted in range(number + 1, self.number + 1):
            body = self._bodies.get(wanted)
            if body is None:
                break
            limit_bytes -= len(body)
            if found and limit_bytes < 0:
                break
            found.append(body)
        return found

    def learn(self, number: int, body: bytes) -> None:
        """Take in a ticket's body; apply it, and what waited for it, if it is next."""
        known = self.body(number)
        if known is not None:
            detail = f"ticket {number} was heard with digests {digest_of(known)} and "
            same = known == body
            self._promises.check(Promise.TICKETS, same, detail + digest_of(body))
            return
        if number <= self.number or len(self._waiting) >= WAITING_LIMIT:
            return
        self._waiting[number] = body
        while self._apply_next():
            continue

    def install(self, config: Config) -> None:
        """Take over a whole configuration of a higher number; a lower one never replaces it."""
        if config.number <= self.number:
            return
        self._set(config)
        self._bodies.clear()
        self._kept_bytes = 0
        for number in [n for n in self._waiting if n <= config.number]:
            del self._waiting[number]
        while self._apply_next():
            continue

    async def wait_changed(self, after_number: int) -> None:
        """Wait until a ticket above ``after_number`` is in force."""
        while self.number <= after_number:
            await self._changed.wait()

    def _apply_next(self) -> bool:
        number = self.number + 1
        body = self._waiting.get(number)
        if body is None:
            return False
        try:
            ticket = Ticket.model_validate_json(body)
        except ValidationError as error:
            self._block(number, f"not a ticket of this release: {error.errors()[0]['msg']}")
            return False
        if ticket.number != number:
            self._block(number, f"its body says number {ticket.number}")
            return False
        del self._waiting[number]
        self._set(apply_ticket(self._config, ticket))
        self._keep(number, body)
        return True

    def _block(self, number: int, reason: str) -> None:
        """Keep what blocks the log; the body is dropped, so that a corrected one is taken."""
        del self._waiting[number]
        stuck = f"ticket {number}: {reason}"
        if stuck != self.stuck:
            log.error("ticket_stuck", number=number, reason=reason)
        self.stuck = stuck

    def _set(self, config: Config) -> None:
        in_order = config.number > self.number
        detail = f"number {config.number} would replace {self.number}"
        self._promises.require(Promise.TICKETS, in_order, detail)
        self._config = config
        self.stuck = ""
        self._changed.set()
        self._changed = anyio.Event()

    def _keep(self, number: int, body: bytes) -> None:
        self._bodies[number] = body
        self._kept_bytes += len(body)
        while len(self._bodies) > KEPT_TICKETS or self._kept_bytes > KEPT_BYTES:
            oldest = next(iter(self._bodies))
            self._kept_bytes -= len(self._bodies.pop(oldest))
