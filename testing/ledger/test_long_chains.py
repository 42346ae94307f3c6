"""Chains of turns that no single message can carry."""

from __future__ import annotations

import itertools
import unittest
from collections.abc import Awaitable
from collections.abc import Callable

import anyio
from result import Err

from bramleylead.connection import Reply
from bramleylead.connection import decode
from bramleylead.connection import encode
from bramleylead.connection._codec import MAX_FRAME_BYTES
from bramleylead.errors import ErrorKind
from bramleylead.ledger._client import LedgerClient
from bramleylead.ledger._messages import Chain
from bramleylead.ledger._messages import FindChain
from bramleylead.ledger._pages import PAGE_BYTES
from bramleylead.ledger._records import KeptTurn
from bramleylead.standins import run_virtual
from testing.ledger._fleet import Ledger
from testing.ledger._fleet import gateway_host
from testing.ledger._fleet import host
from testing.ledger._fleet import running_ledger

TURNS = 45
INPUT_BYTES = 100_000


def long_chain(turns: int = TURNS, input_bytes: int = INPUT_BYTES) -> list[KeptTurn]:
    names = ["", *(f"t{number}" for number in range(turns))]
    return [
        KeptTurn(name, previous, "p", name, 10, 60.0, name.encode().ljust(input_bytes), b"out\n")
        for previous, name in itertools.pairwise(names)
    ]


async def keep_all(gateway: LedgerClient, turns: list[KeptTurn]) -> None:
    for each in turns:
        (await gateway.keep(each)).unwrap()


class LongChainTest(unittest.TestCase):
    def run_with_ledger(
        self,
        main: Callable[[Ledger, LedgerClient, LedgerClient, anyio.abc.TaskGroup], Awaitable[None]],
    ) -> None:
        async def run() -> None:
            async with (
                running_ledger(3) as (ledger, tasks),
                ledger.gateway(0) as first,
                ledger.gateway(1) as second,
            ):
                await main(ledger, first, second, tasks)

        run_virtual(run, seed=1)

    # Guards against review case 2: a chain over 4,000,000 bytes ended with the gateway that had it
    # in memory, since no member could send it in one message.
    def test_another_gateway_finds_a_chain_larger_than_a_frame(self) -> None:
        async def main(
            ledger: Ledger, first: LedgerClient, second: LedgerClient, tasks: anyio.abc.TaskGroup
        ) -> None:
            chain = long_chain()
            self.assertGreater(TURNS * INPUT_BYTES, MAX_FRAME_BYTES)
            await keep_all(first, chain)
            found = (await second.find_chain(chain[-1].turn)).unwrap()
            self.assertEqual(found, chain)

        self.run_with_ledger(main)

    def test_another_member_goes_on_if_one_dies_between_two_pages(self) -> None:
        async def main(
            ledger: Ledger, first: LedgerClient, second: LedgerClient, tasks: anyio.abc.TaskGroup
        ) -> None:
            chain = long_chain()
            await keep_all(first, chain)
            await anyio.sleep(3.0)  # The members copy from each other.
            await second.refresh()
            number = int(second.members_by_distance()[0].node.removeprefix("s"))
            find_chain = ledger.nodes[number]._find_chain
            pages: list[FindChain] = []

            async def die_at_the_second_page(request: FindChain, reply: Reply) -> None:
                pages.append(request)
                if len(pages) > 1:
                    ledger.kill(number)
                await find_chain(request, reply)

            ledger.servers[number]._handlers[FindChain] = die_at_the_second_page
            started_at = anyio.current_time()
            found = (await second.find_chain(chain[-1].turn)).unwrap()
            self.assertEqual(found, chain)
            self.assertNotIn(number, ledger.nodes)
            self.assertLess(anyio.current_time() - started_at, 1.0)

        self.run_with_ledger(main)

    def test_a_missing_turn_at_the_end_of_a_page_is_not_taken_for_an_unknown_turn(self) -> None:
        async def main(
            ledger: Ledger, first: LedgerClient, second: LedgerClient, tasks: anyio.abc.TaskGroup
        ) -> None:
            chain = long_chain()
            await keep_all(first, chain[1:])
            found = await second.find_chain(chain[-1].turn)
            assert isinstance(found, Err)
            self.assertEqual(found.err_value.kind, ErrorKind.NOT_DURABLE)
            unknown = await second.find_chain("never kept")
            assert isinstance(unknown, Err)
            self.assertEqual(unknown.err_value.kind, ErrorKind.UNKNOWN_TURN)

        self.run_with_ledger(main)

    def test_a_page_is_bounded_in_bytes(self) -> None:
        async def main(
            ledger: Ledger, first: LedgerClient, second: LedgerClient, tasks: anyio.abc.TaskGroup
        ) -> None:
            chain = long_chain()
            await keep_all(first, chain)
            member = first.members_by_distance()[0]
            async with ledger.peers(2) as peers:
                request = FindChain(first.view.epoch, chain[-1].turn)
                page = (await peers.request(member.address, request, timeout_s=1.0)).unwrap()
            self.assertLessEqual(len(encode(page)), PAGE_BYTES + INPUT_BYTES)
            self.assertEqual(list(page.turns), chain[::-1][: len(page.turns)])

        self.run_with_ledger(main)

    def test_members_in_another_region_send_all_pages(self) -> None:
        async def main(
            ledger: Ledger, first: LedgerClient, second: LedgerClient, tasks: anyio.abc.TaskGroup
        ) -> None:
            chain = long_chain()
            await keep_all(first, chain)
            for number in ledger.nodes:
                ledger.network.place(host(number), "far", "far")
            ledger.network.place(gateway_host(1), "here", "here")
            found = (await second.find_chain(chain[-1].turn)).unwrap()
            self.assertEqual(found, chain)

        self.run_with_ledger(main)


class OldFormTest(unittest.TestCase):
    """Nodes of the version before chains came in pages."""

    def test_the_messages_have_the_old_form(self) -> None:
        self.assertEqual(encode(FindChain(3, "t")), b"\x93\xcc\xa9\x03\xa1t")
        turn = KeptTurn("t", "", "p", "e", 1, 60.0, b"in", b"out\n")
        old_form = (
            b"\x95\xcc\xaa\xa2s0\xa1d\x03\x91\x98\xa1t\xa0\xa1p\xa1e\x01\xcb@N\x00\x00\x00\x00\x00"
            b"\x00\xc4\x02in\xc4\x04out\n"
        )
        self.assertEqual(encode(Chain("s0", "d", 3, (turn,))), old_form)
        self.assertEqual(decode(old_form), Chain("s0", "d", 3, (turn,)))

    # A node of the old version sends a chain of any number of turns at once, or none of it.
    def test_a_chain_in_one_message_is_complete(self) -> None:
        async def run() -> None:
            async with (
                running_ledger(3) as (ledger, _tasks),
                ledger.gateway(0) as gateway,
            ):
                chain = long_chain(turns=20)
                await keep_all(gateway, chain)
                asked: list[FindChain] = []
                for node in ledger.nodes.values():

                    async def find_whole(request, reply, node=node) -> None:
                        asked.append(request)
                        turns = tuple(node.state.chain(request.turn))
                        member = node.own_entry
                        await reply.send(Chain(member.node, member.disk, node.view.epoch, turns))

                    ledger.servers[int(node.own_entry.node[1:])]._handlers[FindChain] = find_whole
                found = (await gateway.find_chain(chain[-1].turn)).unwrap()
                self.assertEqual((found, len(asked)), (chain, 1))

        run_virtual(run, seed=1)
