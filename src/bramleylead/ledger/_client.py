"""The ledger as a gateway uses it: an entry counts once enough members have it on disk."""

from __future__ import annotations

import random
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from types import TracebackType
from typing import Any
from typing import Self
from typing import final

import anyio
import structlog
from anyio.abc import TaskGroup
from result import Err
from result import Ok
from result import Result

from bramleylead.connection import PeerClient
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.ledger._answers import ChainSearch
from bramleylead.ledger._answers import EntryRound
from bramleylead.ledger._answers import ask_member
from bramleylead.ledger._members import NO_VIEW
from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._members import LedgerView
from bramleylead.ledger._messages import AskState
from bramleylead.ledger._messages import Keep
from bramleylead.ledger._messages import NodeState
from bramleylead.ledger._messages import Reserve
from bramleylead.ledger._messages import Settle
from bramleylead.ledger._records import KeptTurn
from bramleylead.ledger._records import Spending
from bramleylead.ledger._records import union

RESERVE_TIMEOUT_S = 0.7
MAX_TURN_BYTES = 3_900_000
"""Input and output of one turn, which travel in one message between nodes."""
KEEP_TIMEOUT_S = 1.5
PROBE_INTERVAL_S = 0.3
HEDGE_S = 0.06
ENTRY_HEDGE_S = 0.12
"""An entry goes to as many near members as must have it; after this long to the others too."""
LEARN_INTERVAL_S = 0.5
STORE_INTERVAL_S = 2.0
"""A gateway that knows members reads their list in the store no more often."""
STATE_TIMEOUT_S = 0.5
RETRIES = 3
RETRY_AFTER_S = 0.3

log = structlog.get_logger()

ReadMembers = Callable[[], Awaitable[Result[LedgerView, str]]]


@final
class LedgerClient:
    """Makes entries in the ledger and reads it.

    :param read_members: reads the list of members from the platform's store.
    :param losses: how many members may lose their disks at once.
    :param data_centre: members there are asked first, then those of its region.
    :param regions: the region of each data centre.
    :param seeds: addresses where nodes of the ledger may be, asked while no member is known.
    """

    def __init__(
        self,
        peers: PeerClient,
        read_members: ReadMembers,
        *,
        losses: int,
        data_centre: str = "",
        regions: dict[str, str] | None = None,
        seeds: Sequence[str] = (),
    ) -> None:
        self._seeds = list(seeds)
        self._regions = regions or {}
        self._ranks: dict[str, float] = {}
        self._peers = peers
        self._read_members = read_members
        self._losses = losses
        self._data_centre = data_centre
        self._view = NO_VIEW
        self._learning = anyio.Lock()
        self._learned_at = -LEARN_INTERVAL_S
        self._read_at = -STORE_INTERVAL_S
        self._out_since: float | None = None
        self._went_out = anyio.Event()
        self._tasks: TaskGroup | None = None

    async def __aenter__(self) -> Self:
        self._tasks = anyio.create_task_group()
        await self._tasks.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        assert self._tasks is not None
        self._tasks.cancel_scope.cancel()
        return await self._tasks.__aexit__(kind, error, trace)

    @property
    def view(self) -> LedgerView:
        """The members as this client knows them."""
        return self._view

    @property
    def is_out(self) -> bool:
        """Whether entries fail for want of members that answer; probes tell when this ends."""
        return self._out_since is not None

    def near_members(self, view: LedgerView | None = None) -> list[LedgerMember]:
        """Return the members of a view, or of the present one, near ones first.

        Equals come in an order of this gateway's own, so that gateways spread over them.
        """
        region = self._regions.get(self._data_centre)

        def distance(member: LedgerMember) -> tuple[bool, bool, float]:
            return (
                member.data_centre != self._data_centre,
                self._regions.get(member.data_centre) != region,
                self._ranks.setdefault(member.node, random.random()),
            )

        return sorted((view or self._view).members, key=distance)

    async def run_probes(self) -> None:
        """While entries fail, ask the members until enough of them answer."""
        while True:
            await self._went_out.wait()
            await anyio.sleep(PROBE_INTERVAL_S)
            await self._probe()

    async def _probe(self) -> None:
        await self.learn()
        view = self._view
        answering: list[LedgerMember] = []

        async def ask(member: LedgerMember) -> None:
            answer = await self._peers.request(
                member.address, AskState(), timeout_s=STATE_TIMEOUT_S, idempotent=True
            )
            if isinstance(answer, Ok) and answer.ok_value.disk == member.disk:
                answering.append(member)

        async with anyio.create_task_group() as tasks:
            for member in view.members:
                tasks.start_soon(ask, member)
        enough = len(answering) >= view.acks_needed(self._losses) > self._losses
        if enough and self._out_since is not None:
            out_s = anyio.current_time() - self._out_since
            self._out_since = None
            self._went_out = anyio.Event()
            log.info("ledger_regained", epoch=view.epoch, out_s=round(out_s, 3))

    def _note_out(self, detail: str) -> None:
        if self._out_since is None:
            self._out_since = anyio.current_time()
            self._went_out.set()
            log.warning("ledger_lost_contact", epoch=self._view.epoch, reason=detail)

    async def reserve(self, spending: Spending) -> Result[dict[str, Spending], Failure]:
        """Reserve a turn's most; returns all spending of the program that is known."""
        if self.is_out:
            return Err(_unavailable("too few of the ledger's members answer"))
        acks = await self._enter(
            lambda epoch: Reserve(epoch, spending), timeout_s=RESERVE_TIMEOUT_S
        )
        if isinstance(acks, Err):
            return acks
        return Ok(union(ack.known for ack in acks.ok_value))

    async def settle(self, spending: Spending) -> Result[None, Failure]:
        """Say what a turn has spent."""
        return _nothing(
            await self._enter(lambda epoch: Settle(epoch, spending), timeout_s=KEEP_TIMEOUT_S)
        )

    async def keep(self, turn: KeptTurn) -> Result[None, Failure]:
        """Keep a turn that was answered whole, and settle its spending."""
        size = len(turn.given) + len(turn.made)
        if size > MAX_TURN_BYTES:
            detail = f"turn {turn.turn}: {size} bytes; at most {MAX_TURN_BYTES} are kept"
            return Err(Failure(ErrorKind.TOO_LARGE, detail))
        return _nothing(
            await self._enter(lambda epoch: Keep(epoch, turn), timeout_s=KEEP_TIMEOUT_S)
        )

    async def find_chain(self, turn: str) -> Result[list[KeptTurn], Failure]:
        """Return a turn and all those before it, oldest first.

        The failure is ``UNKNOWN_TURN`` if it is certain that no such turn is kept.
        """
        for _ in range(RETRIES):
            view = await self._members()
            found = await self._find(view, turn)
            if found is not None:
                return found
        return Err(_unavailable(f"turn {turn}: the ledger's members change"))

    async def learn(self) -> None:
        """Read the list of members, from the members and now and then from the platform's store."""
        async with self._learning:
            if anyio.current_time() - self._learned_at < LEARN_INTERVAL_S:
                return
            self._learned_at = anyio.current_time()
            known_before = self._view.members
            addresses = [member.address for member in known_before] or self._seeds
            async with anyio.create_task_group() as tasks:
                for address in addresses:
                    tasks.start_soon(self._learn_from, address)
            now = anyio.current_time()
            is_new = not known_before
            if self._view.members and (is_new or now - self._read_at < STORE_INTERVAL_S):
                return
            self._read_at = now
            read = await self._read_members()
            if isinstance(read, Ok):
                self._adopt(read.ok_value, source="store")

    async def _learn_from(self, address: str) -> None:
        answer = await self._peers.request(
            address, AskState(), timeout_s=STATE_TIMEOUT_S, idempotent=True
        )
        if isinstance(answer, Ok) and isinstance(answer.ok_value, NodeState):
            self._adopt(answer.ok_value.view, source=answer.ok_value.node)

    def _adopt(self, view: LedgerView, *, source: str) -> None:
        if view.epoch > self._view.epoch:
            self._view = view
            names = [member.node for member in view.members]
            log.info("ledger_members_changed", epoch=view.epoch, members=names, source=source)

    async def _members(self) -> LedgerView:
        if len(self._view.members) <= self._losses:
            await self.learn()
        return self._view

    async def _enter(
        self, entry: Callable[[int], Any], *, timeout_s: float
    ) -> Result[list[Any], Failure]:
        """Send an entry to members and wait until it counts."""
        detail = ""
        for _ in range(RETRIES):
            view = await self._members()
            if len(view.members) <= self._losses:
                detail = f"{len(view.members)} members, more than {self._losses} are needed"
                break
            round_ = EntryRound(view, view.acks_needed(self._losses))
            with anyio.move_on_after(timeout_s):
                await self._send_round(round_, entry(view.epoch))
            if round_.newer is not None:
                self._adopt(round_.newer, source="answer")
                continue
            if len(round_.acks) >= round_.need:
                return Ok(list(round_.acks))
            detail = f"{len(round_.acks)} of {round_.need} acknowledgements; {round_.failures}"
            assert self._tasks is not None
            self._tasks.start_soon(self.learn)
            break
        self._note_out(detail)
        return Err(_unavailable(f"ledger at epoch {self._view.epoch}: {detail}"))

    async def _send_round(self, round_: EntryRound, entry: Any) -> None:
        """Send an entry to enough near members, and to the others if these falter.

        The members copy from each other, so in the end all have it.
        """
        assert self._tasks is not None, "LedgerClient is used outside its context"
        ordered = self.near_members(round_.view)
        for member in ordered[: round_.need]:
            self._tasks.start_soon(self._send, member, entry, round_)
        with anyio.move_on_after(ENTRY_HEDGE_S):
            await first_of(round_.decided, round_.faltered)
        if not round_.decided.is_set():
            for member in ordered[round_.need :]:
                self._tasks.start_soon(self._send, member, entry, round_)
        await round_.decided.wait()

    async def _send(self, member: LedgerMember, entry: Any, round_: EntryRound) -> None:
        round_.take(member, await ask_member(self._peers, round_.view, member, entry))

    async def _find(self, view: LedgerView, turn: str) -> Result[list[KeptTurn], Failure] | None:
        """Ask the members, the near ones first; ``None`` to begin anew with another view."""
        asked = ChainSearch(self._peers, view, turn)
        ordered = self.near_members(view)
        async with anyio.create_task_group() as tasks:
            with anyio.move_on_after(RESERVE_TIMEOUT_S):
                for member in ordered:
                    tasks.start_soon(asked.ask, member)
                    with anyio.move_on_after(HEDGE_S):
                        await asked.answered.wait()
                    if asked.is_over:
                        break
                while not asked.is_over:
                    await asked.answered.wait()
            tasks.cancel_scope.cancel()
        if asked.newer is not None:
            self._adopt(asked.newer, source="answer")
            return None
        whole = asked.whole()
        if whole is not None:
            return Ok(whole)
        if asked.absent > len(view.members) - view.acks_needed(self._losses):
            return Err(Failure(ErrorKind.UNKNOWN_TURN, f"turn {turn} is not kept"))
        assert self._tasks is not None
        self._tasks.start_soon(self.learn)
        return Err(_unavailable(f"turn {turn}: {asked.absent} of {len(view.members)} answered"))


async def first_of(*events: anyio.Event) -> None:
    """Wait until one of several events is set."""
    async with anyio.create_task_group() as tasks:

        async def wait(event: anyio.Event) -> None:
            await event.wait()
            tasks.cancel_scope.cancel()

        for event in events:
            tasks.start_soon(wait, event)


def _nothing(result: Result[Any, Failure]) -> Result[None, Failure]:
    return result if isinstance(result, Err) else Ok(None)


def _unavailable(detail: str) -> Failure:
    return Failure(ErrorKind.NOT_DURABLE, detail, RETRY_AFTER_S)
