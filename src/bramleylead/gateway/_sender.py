"""Sends one request to one replica, and reads the head of its answer."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple
from typing import final

import anyio
import structlog
from result import Err

from bramleylead.gateway._call import Call
from bramleylead.gateway._call import NotRun
from bramleylead.gateway._call import Outcome
from bramleylead.gateway._call import Unknown
from bramleylead.gateway._call import WholeAnswer
from bramleylead.gateway._directory import Directory
from bramleylead.gateway._links import Links
from bramleylead.gateway._replica_choice import Candidate
from bramleylead.gateway._replica_choice import Need
from bramleylead.gateway._replica_choice import ReplicaLoads
from bramleylead.gateway._types import AnswerFacts
from bramleylead.gateway._types import EngineSpec
from bramleylead.gateway._types import Replica
from bramleylead.gateway._upstream import RequestHead
from bramleylead.gateway._upstream import ResponseHead
from bramleylead.gateway._upstream import Upstream
from bramleylead.gateway._upstream import UpstreamError
from bramleylead.platform import _wire as wire

OTHER_INSTANCE_STATUS = 421
MAX_ANSWER_BYTES = 64_000_000
SMALL_BODY_BYTES = 16_384
SILENT_S = 1.0
"""A request given up after this long without the head of an answer counts against its replica."""

log = structlog.get_logger()


class Sent(NamedTuple):
    """A request whose answer has begun; its body is still to be read from the connection."""

    replica: Replica
    link: Upstream
    head: ResponseHead
    facts: AnswerFacts


@final
class Sender:
    """Chooses replicas and sends requests to them.

    :param place: the gateway's data centre.
    :param regions: the region of each data centre.
    """

    def __init__(
        self,
        directory: Directory,
        links: Links,
        loads: ReplicaLoads,
        *,
        place: str,
        regions: dict[str, str],
    ) -> None:
        self._directory = directory
        self._links = links
        self._loads = loads
        self._place = place
        self._regions = regions

    def choose(self, call: Call, service: str, tried: set[str]) -> Replica | None:
        """Return the replica that a request is sent to next, or ``None`` if none is left."""
        replicas = [
            replica for replica in self._directory.replicas(service) if replica.name not in tried
        ]
        spec = call.configuration.services.get(service)
        engine = None if spec is None else spec.engine
        by_name = {replica.name: replica for replica in replicas}
        candidates = [self._candidate(replica, engine) for replica in replicas]
        chosen = self._loads.choose(candidates, need_of(call))
        if chosen is None:
            return None
        log.info(
            "replica_chosen",
            request=call.facts.request,
            program=call.facts.program,
            replica=chosen.name,
            running=round(self._loads.running(chosen.name), 1),
            own=self._loads.own(chosen.name),
            cost=round(self._loads.cost(chosen, need_of(call))),
            among=len(candidates),
            configuration=call.configuration.version,
        )
        return by_name[chosen.name]

    @asynccontextmanager
    async def send(
        self, call: Call, replica: Replica, *, body: bytes, resume_after: str = ""
    ) -> AsyncIterator[Sent | NotRun | Unknown]:
        """Send a request and yield the beginning of its answer.

        On leaving, a connection whose answer was read whole is kept; any other is closed, which
        ends the work of the replica.
        """
        spec = call.configuration.services.get(replica.service)
        candidate = self._candidate(replica, None if spec is None else spec.engine)
        self._loads.begin(candidate, need_of(call))
        try:
            taken = await self._links.take(replica)
            if isinstance(taken, Err):
                self._loads.health.unreached(replica.name, reason=taken.err_value)
                log.info(
                    "replica_unreached",
                    request=call.facts.request,
                    replica=replica.name,
                    reason=taken.err_value,
                )
                yield NotRun(taken.err_value, sent=False)
                return
            async with self._on_link(call, replica, taken.ok_value, body, resume_after) as begun:
                yield begun
        finally:
            self._loads.end(replica.name)

    @asynccontextmanager
    async def _on_link(
        self, call: Call, replica: Replica, link: Upstream, body: bytes, resume_after: str
    ) -> AsyncIterator[Sent | NotRun | Unknown]:
        keep_s: float | None = None
        begun: Sent | NotRun | Unknown | None = None
        sent_at = anyio.current_time()
        try:
            async with anyio.create_task_group() as tasks:
                begun = await self._begin(call, replica, link, body, resume_after, tasks)
                if isinstance(begun, Sent):
                    keep_s = begun.facts.keep_alive_s
                yield begun
                tasks.cancel_scope.cancel()
        finally:
            waited_s = anyio.current_time() - sent_at
            if begun is None and waited_s > SILENT_S:
                reason = f"no answer within {waited_s:.1f} s"
                self._loads.health.failed(replica.name, reason=reason)
            with anyio.CancelScope(shield=True):
                await self._links.give_back(replica, link, keep_s)

    async def _begin(
        self,
        call: Call,
        replica: Replica,
        link: Upstream,
        body: bytes,
        resume_after: str,
        tasks: anyio.abc.TaskGroup,
    ) -> Sent | NotRun | Unknown:
        head = RequestHead(
            call.method,
            call.target,
            wire.request_headers(
                call.headers,
                left_s=call.left_s,
                replica=replica.name,
                resume_after=resume_after,
                body_bytes=len(body),
            ),
            call.facts.request,
        )
        try:
            data = link.start(head, body)
        except UpstreamError as error:
            return NotRun(str(error), sent=False)
        if len(data) <= SMALL_BODY_BYTES:
            await link.send(data)
        else:
            tasks.start_soon(link.send, data)
        try:
            answer = await link.read_head()
        except UpstreamError as error:
            return Unknown(f"{replica.name}: {error}")
        return await self._judge(call, replica, link, answer)

    async def _judge(
        self, call: Call, replica: Replica, link: Upstream, answer: ResponseHead
    ) -> Sent | NotRun | Unknown:
        facts = wire.read_answer(answer.table())
        if facts.load is not None:
            self._loads.report(replica.name, facts.load.running + facts.load.waiting)
        if facts.not_run or answer.status == OTHER_INSTANCE_STATUS:
            await _read_rest(link)
            other = answer.status == OTHER_INSTANCE_STATUS
            log.info(
                "replica_refused",
                request=call.facts.request,
                replica=replica.name,
                status=answer.status,
                load=facts.load,
            )
            return NotRun(f"{replica.name} refused: {answer.status}", sent=not other)
        if facts.encoded or (answer.status < 300 and not facts.signed):
            return Unknown(f"{replica.name}: {answer.status}: not the replica's own answer")
        return Sent(replica, link, answer, facts)

    def note(self, replica: Replica, outcome: Outcome) -> None:
        """Take in what became of a request, as evidence of whether a replica works."""
        health = self._loads.health
        if isinstance(outcome, Unknown):
            health.failed(replica.name, reason=outcome.detail)
        elif isinstance(outcome, WholeAnswer):
            if outcome.failed:
                health.failed(replica.name, reason=f"answered {outcome.head.status}")
            else:
                health.succeeded(replica.name)

    def _candidate(self, replica: Replica, engine: EngineSpec | None) -> Candidate:
        place = replica.data_centre
        return Candidate(
            name=replica.name,
            slots=replica.slots or (engine.slots if engine else 0),
            cache_tokens=engine.cache_tokens if engine else 0,
            same_centre=place == self._place,
            same_region=self._regions.get(place) == self._regions.get(self._place),
        )


def need_of(call: Call) -> Need:
    """Return what a request asks of a replica."""
    return Need(tuple((part.name, part.tokens) for part in call.facts.prompt))


async def read_whole(sent: Sent) -> Outcome:
    """Read the whole body of an answer."""
    parts = []
    size = 0
    try:
        while (part := await sent.link.read_part()) is not None:
            parts.append(part)
            size += len(part)
            if size > MAX_ANSWER_BYTES:
                return Unknown(f"{sent.replica.name}: answer of over {MAX_ANSWER_BYTES} bytes")
    except UpstreamError as error:
        return Unknown(f"{sent.replica.name}: {error}")
    return WholeAnswer(sent.replica, sent.head, b"".join(parts))


async def _read_rest(link: Upstream) -> None:
    """Read past a refusal's body, so that the connection can be kept."""
    try:
        while await link.read_part() is not None:
            pass
    except UpstreamError as error:
        log.info("refusal_cut_off", reason=str(error))
