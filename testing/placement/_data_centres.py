"""A replay whose replicas and gateways stand in several data centres with callers that shift."""

from __future__ import annotations

import math

import anyio

from bramleylead.placement._prompt import Prompt
from bramleylead.placement._replica_selector import Candidate
from testing.placement._replay import FakeGateway
from testing.placement._uneven_replay import UnevenReplay

DATA_CENTRES = 6
REGIONS = 2
SWING = 0.5
SWING_PERIOD_S = 13.0


class DataCentreReplay(UnevenReplay):
    """A replay in which each data centre's callers vary by half, one after the other.

    A caller stays at the gateways of its data centre.
    """

    data_centre_requests = 0
    region_requests = 0
    _homes: dict[int, int]

    def gateway_for(self, number: int) -> FakeGateway:
        if not hasattr(self, "_homes"):
            self._homes = {}
        if number not in self._homes:
            weights = [self._callers(centre) for centre in range(DATA_CENTRES)]
            self._homes[number] = self._gateway_rng.choices(range(DATA_CENTRES), weights)[0]
        home = self._homes[number]
        own = [gateway for gateway in self.gateways if gateway.number % DATA_CENTRES == home]
        return self._gateway_rng.choice(own)

    def choose(self, gateway: FakeGateway, prompt: Prompt, *, under_way: bool) -> Candidate | None:
        home = gateway.number % DATA_CENTRES
        candidates = [
            candidate._replace(
                same_data_centre=self._centre_of(candidate) == home,
                same_region=self._centre_of(candidate) % REGIONS == home % REGIONS,
            )
            for candidate in self.candidates
        ]
        chosen = gateway.selector.choose(candidates, prompt)
        if chosen is not None:
            self.data_centre_requests += not chosen.same_data_centre
            self.region_requests += not chosen.same_region
        return chosen

    def _callers(self, centre: int) -> float:
        phase = anyio.current_time() / SWING_PERIOD_S + centre / DATA_CENTRES
        return 1.0 + SWING * math.sin(2 * math.pi * phase)

    def _centre_of(self, candidate: Candidate) -> int:
        return int(candidate.name[1:]) % DATA_CENTRES
