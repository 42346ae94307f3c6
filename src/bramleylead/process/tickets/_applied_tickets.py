"""The tickets in force on this node, applied one by one in ascending number order."""

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

MAX_RETAINED_TICKETS = 256
MAX_RETAINED_BYTES = 2_000_000
MAX_WAITING = 64

log = structlog.get_logger()


def digest_of(body: bytes) -> str:
    """Return the digest that identifies a ticket's body to operators."""
    return hashlib.sha256(body).hexdigest()


@final
class AppliedTickets:
    """The configuration in force, recent ticket bodies, and tickets waiting for a lower number."""

    def __init__(self, promises: Promises) -> None:
        self._promises = promises
        self._config = Config()
        self._bodies: dict[int, bytes] = {}
        self._retained_bytes = 0
        self._waiting: dict[int, bytes] = {}
        self._changed = anyio.Event()
        self.stuck = ""

    @property
    def config(self) -> Config:
        """The configuration after the last ticket that was applied."""
        return self._config

    @property
    def number(self) -> int:
        """The number of the ticket in force."""
        return self._config.number

    @property
    def waiting(self) -> list[int]:
        """Numbers of known tickets that wait for a missing lower number."""
        return sorted(self._waiting)

    def body(self, number: int) -> bytes | None:
        """Return the body of a recent or waiting ticket."""
        return self._bodies.get(number) or self._waiting.get(number)

    def bodies_after(self, number: int, *, limit_bytes: int) -> list[bytes]:
        """Return bodies of the applied tickets after a number, in order.

        The first body is returned even if it exceeds ``limit_bytes``. Stops at the first body that
        is no longer retained.
        """
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
        """Add a ticket's body; if it is next, apply it and the tickets that waited for it."""
        known = self.body(number)
        if known is not None:
            detail = f"ticket {number} was received with digests {digest_of(known)} and "
            same = known == body
            self._promises.check(Promise.TICKETS, same, detail + digest_of(body))
            return
        if number <= self.number or len(self._waiting) >= MAX_WAITING:
            return
        self._waiting[number] = body
        while self._apply_next():
            continue

    def install(self, config: Config) -> None:
        """Install a whole configuration if its number is higher than the one in force."""
        if config.number <= self.number:
            return
        self._set_config(config)
        self._bodies.clear()
        self._retained_bytes = 0
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
            self._set_stuck(number, f"not a ticket of this release: {error.errors()[0]['msg']}")
            return False
        if ticket.number != number:
            self._set_stuck(number, f"its body has number {ticket.number}")
            return False
        del self._waiting[number]
        self._set_config(apply_ticket(self._config, ticket))
        self._retain(number, body)
        return True

    def _set_stuck(self, number: int, reason: str) -> None:
        """Record why the next ticket can't be applied; drop its body to accept a corrected one."""
        del self._waiting[number]
        stuck = f"ticket {number}: {reason}"
        if stuck != self.stuck:
            log.error("ticket_stuck", number=number, reason=reason)
        self.stuck = stuck

    def _set_config(self, config: Config) -> None:
        in_order = config.number > self.number
        detail = f"number {config.number} would replace {self.number}"
        self._promises.require(Promise.TICKETS, in_order, detail)
        self._config = config
        self.stuck = ""
        self._changed.set()
        self._changed = anyio.Event()

    def _retain(self, number: int, body: bytes) -> None:
        self._bodies[number] = body
        self._retained_bytes += len(body)
        while len(self._bodies) > MAX_RETAINED_TICKETS or self._retained_bytes > MAX_RETAINED_BYTES:
            oldest = next(iter(self._bodies))
            self._retained_bytes -= len(self._bodies.pop(oldest))
