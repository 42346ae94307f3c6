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
        return tries.out_of_time()

    async def _try_replicas(self, call: Call, tries: _Tries) -> Result[WholeAnswer, Failure]:
        service = pick_service(call.route)
        while tries.may_try_again:
            replica = self._sender.choose(call, service, tries.tried)
            if replica is None:
                break
            outcome = await self._try(call, replica, tries)
            self._sender.note(replica, outcome)
            if isinstance(outcome, WholeAnswer) and not (outcome.failed and call.route.repeatable):
                return Ok(outcome)
            tries.take(replica, outcome)
        return tries.result()

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
        self._failed_answer: WholeAnswer | None = None
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

    def take(self, replica: Replica, outcome: Outcome) -> None:
        """Take in a try that did not succeed."""
        self._under_way = False
        self.tried.add(replica.name)
        if isinstance(outcome, WholeAnswer):
            self._failed_answer = outcome
            self._detail = f"{replica.name} answered {outcome.head.status}"
        else:
            self._detail = outcome.detail
        offered = not isinstance(outcome, NotRun) or outcome.sent
        ran = not isinstance(outcome, NotRun)
        self._sent += offered
        self._moved += not offered
        self._may_have_run = self._may_have_run or ran
        log.info(
            "try_failed",
            request=self._call.facts.request,
            replica=replica.name,
            may_have_run=ran,
            reason=self._detail,
        )

    def result(self) -> Result[WholeAnswer, Failure]:
        """Return what the caller is told after the last try: a replica's own failure if it can."""
        if self._failed_answer is not None:
            return Ok(self._failed_answer)
        if self._may_have_run:
            return Err(Failure(ErrorKind.ENDPOINT_LOST, self._detail))
        return Err(Failure(ErrorKind.OVERLOADED, self._detail, RETRY_AFTER_S))

    def out_of_time(self) -> Result[WholeAnswer, Failure]:
        """Return what the caller of a request is told whose time ran out."""
        if self._failed_answer is not None:
            return Ok(self._failed_answer)
        if self._may_have_run or self._under_way:
            return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, "no answer within the request's time"))
        detail = "no replica within the request's time"
        return Err(Failure(ErrorKind.OVERLOADED, detail, RETRY_AFTER_S))
