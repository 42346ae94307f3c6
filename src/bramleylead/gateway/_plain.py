"""Requests to plain services: sent to one replica, and to another one only where that is safe."""

from __future__ import annotations

import random
from typing import final

import anyio
import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.gateway._call import Call
from bramleylead.gateway._call import NotRun
from bramleylead.gateway._call import Outcome
from bramleylead.gateway._call import Unknown
from bramleylead.gateway._call import WholeAnswer
from bramleylead.gateway._sender import Sender
from bramleylead.gateway._sender import Sent
from bramleylead.gateway._sender import read_whole
from bramleylead.gateway._types import Replica
from bramleylead.gateway._types import Route

MOVED_LIMIT = 4
"""Replicas that turn out to be gone or another don't count as attempts; this bounds them."""
RETRY_AFTER_S = 0.25

log = structlog.get_logger()


def pick_service(route: Route) -> str:
    """Return the service that takes a request, by the route's shares."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return random.choices(route.shares, weights)[0].service


@final
class PlainCalls:
    """Answers requests to plain services."""

    def __init__(self, sender: Sender) -> None:
        self._sender = sender

    async def answer(self, call: Call) -> Result[WholeAnswer, Failure]:
        """Return a replica's whole answer, or why there is none, in time for the caller."""
        tries = _Tries(call)
        with anyio.move_on_after(max(0.0, call.left_s)):
            return await self._try_replicas(call, tries)
        return Err(tries.out_of_time())

    async def _try_replicas(self, call: Call, tries: _Tries) -> Result[WholeAnswer, Failure]:
        service = pick_service(call.route)
        while tries.may_try_again:
            replica = self._sender.choose(call, service, tries.tried)
            if replica is None:
                break
            outcome = await self._try(call, replica, tries)
            if isinstance(outcome, WholeAnswer):
                return Ok(outcome)
            tries.take(replica, outcome)
        return Err(tries.failure())

    async def _try(self, call: Call, replica: Replica, tries: _Tries) -> Outcome:
        tries.begin()
        async with self._sender.send(call, replica, body=call.body) as begun:
            return await read_whole(begun) if isinstance(begun, Sent) else begun


class _Tries:
    """What has become of one request's tries."""

    def __init__(self, call: Call) -> None:
        self._call = call
        self._sent = 0
        self._moved = 0
        self._may_have_run = False
        self._under_way = False
        self._detail = "no replica is in use"
        self.tried: set[str] = set()

    @property
    def may_try_again(self) -> bool:
        """Whether another replica may be sent the request."""
        route = self._call.route
        if self._may_have_run and not route.repeatable:
            return False
        return self._sent < route.attempts and self._moved < MOVED_LIMIT

    def begin(self) -> None:
        self._under_way = True

    def take(self, replica: Replica, outcome: NotRun | Unknown) -> None:
        """Take in a try without an answer."""
        self._under_way = False
        self.tried.add(replica.name)
        self._detail = outcome.detail
        offered = isinstance(outcome, Unknown) or outcome.sent
        self._sent += offered
        self._moved += not offered
        self._may_have_run = self._may_have_run or isinstance(outcome, Unknown)
        log.info(
            "try_failed",
            request=self._call.facts.request,
            replica=replica.name,
            may_have_run=isinstance(outcome, Unknown),
            reason=outcome.detail,
        )

    def failure(self) -> Failure:
        """Return the failure after the last try."""
        if self._may_have_run:
            return Failure(ErrorKind.ENDPOINT_LOST, self._detail)
        return Failure(ErrorKind.OVERLOADED, self._detail, RETRY_AFTER_S)

    def out_of_time(self) -> Failure:
        """Return the failure of a request whose time ran out."""
        if self._may_have_run or self._under_way:
            return Failure(ErrorKind.OUTCOME_UNKNOWN, "no answer within the request's time")
        return Failure(ErrorKind.OVERLOADED, "no replica within the request's time", RETRY_AFTER_S)
