"""Runs the fuzzer: cases of a seed, and beside them a flow that must be served all the while."""

from __future__ import annotations

import random
import sys
import tempfile
from collections import Counter
from collections import deque
from collections.abc import Iterator
from collections.abc import Sequence
from contextlib import AsyncExitStack
from pathlib import Path
from typing import NamedTuple
from typing import Protocol
from typing import TextIO
from typing import final

import anyio

from bramleylead.platform import _names as names
from bramleylead.trials.fuzz._callers import CallerCases
from bramleylead.trials.fuzz._cases import Case
from bramleylead.trials.fuzz._cases import TargetKind
from bramleylead.trials.fuzz._cases import write_case
from bramleylead.trials.fuzz._flow import SoundFlow
from bramleylead.trials.fuzz._metrics import MetricsCases
from bramleylead.trials.fuzz._peers import PeerCases
from bramleylead.trials.fuzz._replicas import ReplicaCases
from bramleylead.trials.fuzz._sending import SHOWN_BYTES
from bramleylead.trials.fuzz._sending import parse_answers
from bramleylead.trials.fuzz._sending import send_bytes
from bramleylead.trials.fuzz._sending import send_to_node
from bramleylead.trials.fuzz._site import FuzzSite
from bramleylead.trials.fuzz._store import ENTRY_PATH
from bramleylead.trials.fuzz._store import StoreCases
from bramleylead.trials.site._callers import HOST_NAME
from bramleylead.trials.site._faults import UNEASY_S
from bramleylead.trials.site._processes import CLUSTER_KEY
from bramleylead.trials.site._processes import Node
from bramleylead.trials.site._soak import STALL_S

WORKERS = 8
FLOWS = 2
WATCH_S = 0.1
REST_S = 1.0
STORE_PAUSE_S = 0.05
STORE_PATIENCE_S = 0.5
RECENT_CASES = 24
MAX_RSS_BYTES = 150_000_000
ERROR_EVENTS = (b"task_failed", b"request_failed", b"peer_call_failed")
ERROR_SHOWN_BYTES = 40_000
NOT_RUN = (408, 421, 429, 503)


class Source(Protocol):
    """Draws cases."""

    def draw(self) -> Case:
        """Return the next case."""
        ...


SOURCES: dict[TargetKind, type] = {
    TargetKind.CALLERS: CallerCases,
    TargetKind.PEERS: PeerCases,
    TargetKind.REPLICAS: ReplicaCases,
    TargetKind.STORE: StoreCases,
    TargetKind.METRICS: MetricsCases,
}


class FuzzSettings(NamedTuple):
    """What a run sends.

    :param cases: the most cases to send; 0 for no limit.
    :param keep: folder for the cases that were under way at a finding; empty to keep none.
    :param played: cases to send instead of drawn ones.
    """

    target: TargetKind
    seed: int
    length_s: float
    cases: int = 0
    keep: str = ""
    played: tuple[Case, ...] = ()


class FuzzFinding(NamedTuple):
    """What must not happen, with the files of the cases that were under way."""

    what: str
    detail: str
    files: tuple[str, ...]


class FuzzReport(NamedTuple):
    """What became of a run.

    :param peaks: the most memory of each process, in bytes.
    :param disturbed: sound requests not served while the machine itself stood still.
    """

    settings: FuzzSettings
    findings: tuple[FuzzFinding, ...]
    sent: dict[str, int]
    statuses: dict[int, int]
    served: int
    refused: int
    peaks: dict[str, int]
    disturbed: int = 0

    @property
    def last_line(self) -> str:
        """The summary; counts depend on the machine, findings must not."""
        peaks = " ".join(f"{name}={size // 10**6}MB" for name, size in self.peaks.items())
        return (
            f"target={self.settings.target.value} seed={self.settings.seed} "
            f"cases={sum(self.sent.values())} of {len(self.sent)} kinds served={self.served} "
            f"refused={self.refused} disturbed={self.disturbed} {peaks} "
            f"findings={len(self.findings)}"
        )


@final
class Fuzzer:
    """Sends cases and watches the processes."""

    def __init__(self, settings: FuzzSettings, site: FuzzSite) -> None:
        self._settings = settings
        self._site = site
        self._recent: deque[Case] = deque(maxlen=RECENT_CASES)
        self._cases = draw_cases(settings)
        self._log_offsets = {node.name: 0 for node in site.nodes}
        self._known: set[str] = set()
        self._asked: set[str] = set()
        self._files: dict[Case, str] = {}
        self._uneasy_until = 0.0
        self.disturbed = 0
        self.findings: list[FuzzFinding] = []
        self.sent: Counter[str] = Counter()
        self.statuses: Counter[int] = Counter()
        self.flow = SoundFlow(site.gateway, site.judge)

    async def run(self) -> None:
        """Send for as long as the settings say, then check that sound requests are served."""
        await self.flow.wait_served()
        async with anyio.create_task_group() as tasks:
            for _ in range(FLOWS):
                tasks.start_soon(self.flow.run)
            tasks.start_soon(self._watch)
            with anyio.move_on_after(self._settings.length_s):
                async with anyio.create_task_group() as workers:
                    for _ in range(WORKERS):
                        workers.start_soon(self._work)
            await anyio.sleep(REST_S)
            await self.flow.run_program()
            tasks.cancel_scope.cancel()
        self.check()

    def check(self) -> None:
        """Look for findings."""
        for node in self._site.nodes:
            self._check_node(node)
        for text in self.flow.unserved:
            if anyio.current_time() < self._uneasy_until:
                self.disturbed += 1
            else:
                self._find("sound request not served", text)
        for finding in self._site.judge.findings:
            self._find(finding.promise, finding.detail)
        for replica in self._site.odd:
            for run in replica.runs:
                if run.request not in self._asked:
                    self._find("unasked", f"{replica.name}: {run}", self._around(run.request))
            replica.runs.clear()
        self.flow.unserved.clear()
        self._site.judge.findings.clear()

    async def _watch(self) -> None:
        """Look for findings; hold no bound on time against a machine that itself stands still."""
        while True:
            started_at = anyio.current_time()
            await anyio.sleep(WATCH_S)
            now = anyio.current_time()
            if now - started_at > WATCH_S + STALL_S:
                self._uneasy_until = now + UNEASY_S
            self.check()
            for node in self._site.nodes:
                if not node.is_running:
                    await node.start()

    def _check_node(self, node: Node) -> None:
        code = node.ended_by_itself
        if code is not None:
            self._find(f"{node.name} ended", f"code {code}: {node.last_lines()}")
            return
        used = node.resident_bytes()
        if used > MAX_RSS_BYTES:
            self._find_once(f"{node.name} memory", f"{used} bytes are resident")
        with node.log_file.open("rb") as log:
            log.seek(self._log_offsets[node.name])
            whole, end, _ = log.read().rpartition(b"\n")
            self._log_offsets[node.name] += len(whole) + len(end)
        for line in whole.split(b"\n"):
            if any(event in line for event in ERROR_EVENTS):
                self._find(f"{node.name} error", line[:ERROR_SHOWN_BYTES].decode(errors="replace"))

    async def _work(self) -> None:
        for case in self._cases:
            self._recent.append(case)
            self.sent[case.name] += 1
            self._asked.update(case.asked)
            await self._send(case)

    async def _send(self, case: Case) -> None:
        if case.target is TargetKind.REPLICAS:
            await self._ask_replica(case)
        elif case.target is TargetKind.STORE:
            await self._answer_as_store(case)
        elif case.target is TargetKind.PEERS:
            node = self._site.gateway if case.role == "gateway" else self._site.ledger
            address = node.addresses[0]
            await send_to_node(address, case.parts, key=CLUSTER_KEY, handshake=case.handshake)
        else:
            data = await send_bytes(self._address(case), case.parts)
            self._check_answers(case, data)

    def _address(self, case: Case) -> str:
        if case.target is TargetKind.CALLERS:
            return self._site.gateway.http
        if case.role == "ready":
            return self._site.gateway.ready
        node = self._site.gateway if case.role == "gateway" else self._site.ledger
        return node.addresses[-1]

    async def _ask_replica(self, case: Case) -> None:
        """Send a sound request, which a replica answers with the bytes of the case."""
        (request,) = case.asked
        for replica in self._site.odd:
            replica.script(request, case.parts)
        head = (
            f"POST {case.path} HTTP/1.1\r\nhost: {HOST_NAME}\r\n{names.REQUEST_ID}: {request}\r\n"
            f"{names.DEADLINE_MS}: 1500\r\n{names.PROGRAM_ID}: {request}\r\n"
            f"{names.TOKEN_BUDGET}: 500\r\n{names.TOKEN_USAGE}: 100,50\r\ncontent-length: 5\r\n\r\n"
        )
        data = await send_bytes(self._site.gateway.http, (head.encode() + b"order",))
        statuses = self._check_answers(case, data)
        ran = any(run.request == request for replica in self._site.odd for run in replica.runs)
        is_ours = names.SERVER_STAMP.encode() not in data.lower()
        says_not_run = names.NOT_RUN.encode() in b"".join(case.parts).lower()
        if ran and is_ours and not says_not_run and statuses[-1:] and statuses[-1] in NOT_RUN:
            self._find("refused though it ran", f"{case.name}: {data[:SHOWN_BYTES]!r}", (case,))

    async def _answer_as_store(self, case: Case) -> None:
        kind, _, name = case.path.partition("/")
        if kind == ENTRY_PATH:
            self._site.store.put_text(name, case.parts[0])
            await anyio.sleep(STORE_PAUSE_S)
            self._site.store.remove(name)
        else:
            self._site.store.replace_next(case.path, case.parts)
            with anyio.move_on_after(STORE_PATIENCE_S):
                await self._site.store.wait_answered(case.path)

    def _check_answers(self, case: Case, data: bytes) -> list[int]:
        is_head = b"".join(case.parts).startswith(b"HEAD")
        try:
            statuses = parse_answers(data, is_head=is_head)
        except ValueError as error:
            self._find("no answer in the protocol", f"{case.name}: {error}", (case,))
            return []
        self.statuses.update(statuses or [0])
        if 500 in statuses and case.target is not TargetKind.REPLICAS:
            self._find("internal error", f"{case.name}: {data[:SHOWN_BYTES]!r}", (case,))
        return statuses

    def _find_once(self, what: str, detail: str) -> None:
        if what not in self._known:
            self._known.add(what)
            self._find(what, detail)

    def _find(self, what: str, detail: str, cases: Sequence[Case] = ()) -> None:
        files = tuple(self._keep(case) for case in cases or self._recent if self._settings.keep)
        self.findings.append(FuzzFinding(what, detail, files))

    def _around(self, request: str) -> list[Case]:
        """Return the cases in which a request stands that no caller sent."""
        return [case for case in self._recent if request.encode() in b"".join(case.parts)]

    def _keep(self, case: Case) -> str:
        """Write a case to a file, once, and return the file."""
        settings = self._settings
        if case in self._files:
            return self._files[case]
        folder = Path(settings.keep)
        folder.mkdir(parents=True, exist_ok=True)
        number = len(list(folder.iterdir()))
        file = folder / f"{settings.target.value}-{settings.seed}-{number}.json"
        write_case(case, file)
        self._files[case] = str(file)
        return str(file)


async def fuzz(settings: FuzzSettings) -> FuzzReport:
    """Run the fuzzer once and return what became of it."""
    async with AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        site = FuzzSite(Path(folder), random.Random(f"{settings.seed}/site"))
        await site.open(stack)
        fuzzer = Fuzzer(settings, site)
        await fuzzer.run()
        return FuzzReport(
            settings=settings,
            findings=tuple(fuzzer.findings),
            sent=dict(fuzzer.sent),
            statuses=dict(fuzzer.statuses),
            served=fuzzer.flow.served,
            refused=fuzzer.flow.refused,
            peaks={n.name: n.resident_bytes(peak=True) for n in site.nodes if n.is_running},
            disturbed=fuzzer.disturbed,
        )


def print_fuzz_report(report: FuzzReport, out: TextIO = sys.stdout) -> None:
    """Print counts and findings; the last line is :attr:`FuzzReport.last_line`."""
    for name, count in sorted(report.sent.items()):
        print(f"sent {count}: {name}", file=out)
    for status, count in sorted(report.statuses.items()):
        print(f"answers {status or 'none'}: {count}", file=out)
    for finding in report.findings:
        print(f"found, {finding.what}: {finding.detail}", file=out)
        for file in finding.files:
            print(f"  case: {file}", file=out)
    print(report.last_line, file=out)


def draw_cases(settings: FuzzSettings) -> Iterator[Case]:
    """Return the cases of a run: those that are played again, or those of the seed."""
    if settings.played:
        yield from settings.played
        return
    rng = random.Random(f"{settings.seed}/{settings.target.value}")
    source: Source = SOURCES[settings.target](rng)
    number = 0
    while not settings.cases or number < settings.cases:
        number += 1
        yield source.draw()
