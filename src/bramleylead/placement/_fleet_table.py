"""What many gateways together know of the replicas: running requests and cached prompts.

Answers blind placement: with hundreds of gateways, each one sends a replica so few requests that
its own view of the replica's load and cache is mostly empty. Every gateway therefore reports its
running requests with the messages that it sends to the ledger anyway, and a ledger node adds them
up. All of this is soft state: it ages, it may be incomplete, and it is lost with the process.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple
from typing import final

REPORT_LIFETIME_S = 2.0
"""A gateway reports when a turn starts and when it ends. An older report is more often that of a
gateway that was lost than that of one whose turns last so long."""
PROMPT_LIFETIME_S = 30.0
MAX_PROMPT_PARTS = 20_000
MAX_HOLDERS_REPORTED = 24
COUNTER_SEPARATOR = "\0"
"""Between a replica's name and that of a counter. Nodes of all versions add up counters like
running requests and pass them on, while older ones refuse a further field in a nested tuple."""


class LoadReport(NamedTuple):
    """What one gateway reports about itself.

    :param running: its running requests by replica, without the replicas that have none, and
        further counters of replicas, each under the replica's name, a separator and a mark.
    :param prompts: the replica and the prompt parts of each turn that ended since its last report.
    """

    gateway: str
    running: dict[str, int]
    prompts: tuple[tuple[str, tuple[str, ...]], ...] = ()


class FleetLoad(NamedTuple):
    """What one ledger node knows of the load of all gateways but one.

    :param running: running requests by replica, and further counters as in :class:`LoadReport`.
    :param holders: for each prompt part asked about, the replicas that have it cached.
    """

    running: dict[str, int]
    holders: tuple[tuple[str, ...], ...]


class GatewayLoad(NamedTuple):
    """A gateway's running requests, as nodes pass them on; ``age_s`` is the age of the report."""

    gateway: str
    age_s: float
    running: dict[str, int]


NO_REPORT = LoadReport("", {})
NO_FLEET_LOAD = FleetLoad({}, ())


class _Report(NamedTuple):
    running: dict[str, int]
    reported_at: float


@final
class FleetTable:
    """The gateways' reports that one ledger node has received or been passed on."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._unshared: set[str] = set()
        self._holders: OrderedDict[str, dict[str, float]] = OrderedDict()

    def record(self, report: LoadReport, *, now: float) -> None:
        """Record what a gateway reports."""
        if not report.gateway:
            return
        self._reports[report.gateway] = _Report(report.running, now)
        self._unshared.add(report.gateway)
        for replica, parts in report.prompts:
            self._record_prompt(replica, parts, now)

    def record_shared(self, loads: Iterable[GatewayLoad], *, now: float) -> None:
        """Record reports that another node has passed on, unless later ones are known."""
        for load in loads:
            reported_at = now - load.age_s
            known = self._reports.get(load.gateway)
            if known is None or known.reported_at < reported_at:
                self._reports[load.gateway] = _Report(load.running, reported_at)
                self._unshared.discard(load.gateway)

    def take_unshared(self, *, now: float) -> tuple[GatewayLoad, ...]:
        """Return the reports received directly since the last call, to be passed on."""
        self._drop_expired(now)
        names, self._unshared = self._unshared, set()
        return tuple(
            GatewayLoad(name, now - self._reports[name].reported_at, self._reports[name].running)
            for name in sorted(names)
            if name in self._reports
        )

    def load_for(self, gateway: str, parts: Iterable[str], *, now: float) -> FleetLoad:
        """Return the load of all other gateways, and the holders of prompt parts."""
        totals: dict[str, int] = {}
        for name, report in self._reports.items():
            if name == gateway or now - report.reported_at > REPORT_LIFETIME_S:
                continue
            for replica, running in report.running.items():
                totals[replica] = totals.get(replica, 0) + running
        return FleetLoad(totals, tuple(self._holders_of(part, now) for part in parts))

    def _holders_of(self, part: str, now: float) -> tuple[str, ...]:
        used_at = self._holders.get(part, {})
        recent = sorted(used_at, key=used_at.__getitem__, reverse=True)[:MAX_HOLDERS_REPORTED]
        return tuple(replica for replica in recent if now - used_at[replica] < PROMPT_LIFETIME_S)

    def _record_prompt(self, replica: str, parts: tuple[str, ...], now: float) -> None:
        for part in parts:
            self._holders.setdefault(part, {})[replica] = now
            self._holders.move_to_end(part)
        while len(self._holders) > MAX_PROMPT_PARTS:
            self._holders.popitem(last=False)

    def _drop_expired(self, now: float) -> None:
        for name, report in list(self._reports.items()):
            if now - report.reported_at > REPORT_LIFETIME_S:
                del self._reports[name]


def merge_fleet_loads(loads: Iterable[FleetLoad]) -> FleetLoad:
    """Merge what several nodes know: each may miss reports, so the highest counts are taken."""
    running: dict[str, int] = {}
    holders: list[dict[str, None]] = []
    for load in loads:
        for replica, count in load.running.items():
            running[replica] = max(count, running.get(replica, 0))
        for position, names in enumerate(load.holders):
            if position == len(holders):
                holders.append({})
            holders[position] |= dict.fromkeys(names)
    return FleetLoad(running, tuple(tuple(names) for names in holders))
