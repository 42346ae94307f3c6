"""Chooses the replica for each request of a gateway from what the gateway knows of them all."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import final

import anyio
import structlog

from bramleylead.gateway._call import Call
from bramleylead.gateway._crash_guard import CrashGuard
from bramleylead.gateway._directory import Directory
from bramleylead.gateway._permit_waits import PermitWaits
from bramleylead.placement._admission import ServiceLoad
from bramleylead.placement._prompt import Prompt
from bramleylead.placement._rate_limits import RateLimits
from bramleylead.placement._replica_selector import Candidate
from bramleylead.placement._replica_selector import ReplicaSelector
from bramleylead.platform._types import NO_SOFTWARE
from bramleylead.platform._types import Replica
from bramleylead.platform._types import Route
from bramleylead.platform._types import Software

UNDER_WAY_ROOM_WAIT_S = 0.2
"""How long a turn of a program in progress waits for room in a replica's memory."""
ROOM_POLL_S = 0.02

log = structlog.get_logger()


@final
class ReplicaChoice:
    """Chooses among the replicas of a service.

    :param data_centre: the gateway's data centre.
    :param regions: the region of each data centre.
    """

    def __init__(
        self,
        directory: Directory,
        selector: ReplicaSelector,
        limits: RateLimits,
        guard: CrashGuard,
        *,
        data_centre: str,
        regions: dict[str, str],
        rng: random.Random,
    ) -> None:
        self._directory = directory
        self._selector = selector
        self._limits = limits
        self._guard = guard
        self._permit_waits = PermitWaits(directory, limits, rng)
        self._rng = rng
        self._data_centre = data_centre
        self._regions = regions

    @property
    def load_age_s(self) -> float | None:
        """The age of the load of all other gateways; ``None`` if none is known."""
        return self._selector.fleet_load_age_s

    def pick_service(self, route: Route) -> str:
        """Choose the service for a request at random, weighted by the route's shares."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._rng.choices(route.shares, weights)[0].service

    async def choose(
        self,
        call: Call,
        service: str,
        tried_replicas: set[str],
        *,
        software: Software | None = None,
        under_way: bool = False,
    ) -> Replica | None:
        """Return the next replica to send a request to, or ``None`` if none is left.

        May wait for a while if the limits of all replicas allow no request now, or if none has room
        for it. Replicas may come or change meanwhile.

        :param software: the only software that may run the request; ``None`` if any may.
        :param under_way: whether the request's program is in progress, so that it may wait.
        """
        room_needed_by = anyio.current_time() + (UNDER_WAY_ROOM_WAIT_S if under_way else 0.0)
        while True:
            excluded = tried_replicas | self._replicas_of_others(software)
            replica = self._choose_permitted(call, service, excluded, under_way=under_way)
            if replica is not None:
                return replica
            if self._lacks_room(call, service, excluded, under_way=under_way):
                if anyio.current_time() >= room_needed_by:
                    self._log_no_room(call, service, under_way=under_way)
                    return None
                await anyio.sleep(ROOM_POLL_S)
            elif not await self._permit_waits.wait(call, service, excluded):
                return None

    def preferred_software(self, call: Call, service: str) -> Software:
        """Return the software of the replica that a new stream would be sent to."""
        permitted = self._permitted(service, set())
        found = {replica.software for replica in permitted.values()}
        if len(found) <= 1:
            return next(iter(found), NO_SOFTWARE)
        chosen = self._selector.choose(self._candidates(call, permitted.values()), prompt_of(call))
        return NO_SOFTWARE if chosen is None else permitted[chosen.name].software

    def is_served(self, software: Software) -> bool:
        """Return whether a replica that runs the software may be sent requests."""
        replicas = self._directory.replicas(software.service)
        return any(replica.software == software for replica in replicas)

    def runs_as_listed(self, replica: Replica) -> bool:
        """Return whether the list shows no other software for a replica than it was chosen for."""
        listed = self._directory.find(replica.name)
        return listed is None or listed.software == replica.software

    def retry_after_s(self, service: str) -> float:
        """Return when a caller whose request could be sent to no replica should return."""
        return self._permit_waits.retry_after_s(service, bounds_memory=self._selector.bounds_memory)

    def candidate(self, call: Call, replica: Replica) -> Candidate:
        """Return what the choice knows of a replica itself."""
        spec = call.configuration.services.get(replica.service)
        engine = None if spec is None else spec.engine
        data_centre = replica.data_centre
        return Candidate(
            name=replica.name,
            slots=replica.slots or (engine.slots if engine else 0),
            cache_tokens=engine.cache_tokens if engine else 0,
            same_data_centre=data_centre == self._data_centre,
            same_region=self._regions.get(data_centre) == self._regions.get(self._data_centre),
        )

    def service_load(self, call: Call, service: str, *, turn_s: float) -> ServiceLoad:
        """Return the load of a service's replicas that are not ejected.

        :param turn_s: how long a turn takes on average.
        """
        candidates = self._candidates(call, self._directory.replicas(service))
        ejected = self._selector.health.ejected([candidate.name for candidate in candidates])
        usable = [candidate for candidate in candidates if candidate.name not in ejected]
        return ServiceLoad(
            running=sum(self._selector.running(candidate.name) for candidate in usable),
            slots=sum(
                self._limits.slots(candidate.name, candidate.slots, request_s=turn_s)
                for candidate in usable
            ),
        )

    def _lacks_room(self, call: Call, service: str, excluded: set[str], *, under_way: bool) -> bool:
        """Return whether replicas may be sent a request, but none has room for it."""
        candidates = self._candidates(call, self._permitted(service, excluded).values())
        prompt = prompt_of(call)
        return bool(candidates) and not self._selector.with_room(
            candidates, prompt, under_way=under_way
        )

    def _log_no_room(self, call: Call, service: str, *, under_way: bool) -> None:
        now = anyio.current_time()
        names = [replica.name for replica in self._directory.replicas(service)]
        held = [self._selector.held.held(name, now=now) for name in names]
        spec = call.configuration.services.get(service)
        log.info(
            "no_room",
            request=call.metadata.request_id,
            program=call.metadata.program,
            service=service,
            tokens=prompt_of(call).tokens,
            least_held=min(held, default=0),
            memory=spec.engine.cache_tokens if spec and spec.engine else 0,
            replicas=len(names),
            fleet_age_s=round(self._selector.fleet_age_s, 3),
            under_way=under_way,
        )

    def _choose_permitted(
        self, call: Call, service: str, tried_replicas: set[str], *, under_way: bool
    ) -> Replica | None:
        by_name = self._permitted(service, tried_replicas)
        prompt = prompt_of(call)
        candidates = self._selector.with_room(
            self._candidates(call, by_name.values()), prompt, under_way=under_way
        )
        is_suspect = self._guard.is_suspect(call)
        if is_suspect:
            chosen = self._selector.choose_apart(candidates, call.fingerprint.whole)
        else:
            chosen = self._selector.choose(candidates, prompt)
        if chosen is None:
            return None
        log.info(
            "replica_chosen",
            request=call.metadata.request_id,
            program=call.metadata.program,
            replica=chosen.name,
            software=by_name[chosen.name].software_version,
            running=round(self._selector.running(chosen.name), 1),
            own=self._selector.own_requests(chosen.name),
            cost=round(self._selector.cost(chosen, prompt)),
            slowdown=round(self._selector.slowdown(chosen.name), 2),
            held=self._selector.held.held(chosen.name, now=anyio.current_time()),
            tokens=prompt.tokens,
            among=len(candidates),
            suspect=is_suspect,
            configuration=call.configuration.version,
            list_age_s=round(self._directory.replica_list_age_s, 3),
        )
        return by_name[chosen.name]

    def _replicas_of_others(self, software: Software | None) -> set[str]:
        """Return the replicas of the same service that run other software."""
        if software is None:
            return set()
        replicas = self._directory.replicas(software.service)
        return {replica.name for replica in replicas if replica.software != software}

    def _permitted(self, service: str, excluded: set[str]) -> dict[str, Replica]:
        return {
            replica.name: replica
            for replica in self._directory.replicas(service)
            if replica.name not in excluded and self._limits.has_permit(replica.name)
        }

    def _candidates(self, call: Call, replicas: Iterable[Replica]) -> list[Candidate]:
        return [self.candidate(call, replica) for replica in replicas]


def prompt_of(call: Call) -> Prompt:
    """Return what a request needs of a replica, as its headers describe it."""
    metadata = call.metadata
    affinity = metadata.affinity if call.route.sticky else ""
    parts = tuple((part.name, part.tokens) for part in metadata.prompt)
    # A caller that continues a kept turn may count only its new input.
    prompt_tokens = max(metadata.prompt_tokens, sum(tokens for _, tokens in parts))
    return Prompt(parts, affinity, prompt_tokens + metadata.max_output_tokens)
