"""The ticket log over a fake network: order, currency, outages, races, lost replies."""

from __future__ import annotations

import random
import unittest
from typing import Any

import anyio
from result import Err
from result import Ok

from bramleylead.errors import ErrorKind
from bramleylead.fleet._rendezvous import store_watchers
from bramleylead.node_settings import TicketSettings
from bramleylead.platform import StoreError
from bramleylead.platform import StoreErrorKind
from bramleylead.process.tickets._relay import make_relay
from bramleylead.process.tickets._ticket_store import SNAPSHOT_KEY
from bramleylead.process.tickets._ticket_store import ticket_key
from bramleylead.request import TicketAccepted
from bramleylead.request import TicketState
from bramleylead.standins import run_virtual
from testing.process.fleet import TicketFleet
from testing.process.fleet import host
from testing.process.fleet import running
from testing.process.fleet import ticket_body
from testing.process.fleet import until

SEEDS = (1, 2, 3)
SPREAD_S = 3.0


def second_in_chain(fleet: TicketFleet, data_centre: str) -> int:
    """Return the node that the data centre's watcher pushes to with a fanout of 1."""
    members = next(iter(fleet.nodes.values())).members()
    near = [member for member in members if member.data_centre == data_centre]
    root = store_watchers(near, data_centre, 1)[0].node
    chain = make_relay("tree", near, 1, random.Random(0))
    return int(chain.children(root, root)[0].node.removeprefix("n"))


class SubmitTest(unittest.TestCase):
    def test_an_accepted_ticket_is_in_force_everywhere_within_three_seconds(self) -> None:
        async def body(seed: int) -> None:
            fleet = TicketFleet(seed=seed)
            async with running(fleet, 12):
                await until(fleet.all_current, limit_s=5)
                for number in (1, 2, 3):
                    accepted = await fleet.ticket_admins["n5"].submit_ticket(ticket_body(number))
                    self.assertEqual(accepted, Ok(TicketAccepted(number, repeated=False)))
                    await until(lambda number=number: fleet.all_at(number), limit_s=SPREAD_S)
                status = (await fleet.ticket_admins["n7"].ticket_status(3)).ok_value
                self.assertIs(status.state, TicketState.IN_FORCE)
                self.assertEqual(len(status.nodes), 12)
                listed = (await fleet.ticket_admins["n7"].list_tickets()).ok_value
                self.assertEqual([t.number for t in listed], [1, 2, 3])
                shown = (await fleet.ticket_admins["n7"].show_ticket(2)).ok_value
                self.assertEqual(shown["author"], "op")

        for seed in SEEDS:
            run_virtual(lambda seed=seed: body(seed), seed=seed)

    def test_a_body_that_can_not_be_decoded_is_an_invalid_ticket(self) -> None:
        async def body() -> None:
            fleet = TicketFleet(seed=1)
            async with running(fleet, 3):
                await until(fleet.all_current, limit_s=5)
                for odd in (b"[" * 50_000 + b"]" * 50_000, b"9" * 4_901, b'{"number": 1e999}'):
                    answer = await fleet.ticket_admins["n1"].submit_ticket(odd)
                    self.assertEqual(answer.err_value.kind, ErrorKind.TICKET_INVALID)

        run_virtual(body, seed=1)

    def test_of_two_racing_submissions_one_wins_and_the_other_gets_its_author(self) -> None:
        async def body(seed: int) -> None:
            fleet = TicketFleet(seed=seed)
            answers: dict[str, Any] = {}

            async def submit(node: str, author: str) -> None:
                answers[author] = await fleet.ticket_admins[node].submit_ticket(
                    ticket_body(1, author)
                )

            async with running(fleet, 6):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(submit, "n0", "ann")
                    tasks.start_soon(submit, "n3", "bob")
                won = [author for author, answer in answers.items() if isinstance(answer, Ok)]
                self.assertEqual(len(won), 1)
                lost = next(answer for answer in answers.values() if isinstance(answer, Err))
                self.assertIs(lost.err_value.kind, ErrorKind.TICKET_CONFLICT)
                self.assertIn(won[0], lost.err_value.detail)

        for seed in SEEDS:
            run_virtual(lambda seed=seed: body(seed), seed=seed)

    def test_resubmitting_a_ticket_is_accepted_and_a_different_body_is_rejected(self) -> None:
        async def body() -> None:
            fleet = TicketFleet(seed=1)
            async with running(fleet, 6):
                await fleet.ticket_admins["n0"].submit_ticket(ticket_body(1))
                await until(lambda: fleet.all_at(1), limit_s=SPREAD_S)
                spaced = ticket_body(1).replace(b",", b" , ")
                again = await fleet.ticket_admins["n3"].submit_ticket(spaced)
                self.assertEqual(again, Ok(TicketAccepted(1, repeated=True)))
                other = await fleet.ticket_admins["n3"].submit_ticket(ticket_body(1, note="x"))
                self.assertIs(other.err_value.kind, ErrorKind.TICKET_CONFLICT)

        run_virtual(body, seed=1)

    def test_a_lost_store_reply_is_resolved_by_reading_the_ticket(self) -> None:
        async def body() -> None:
            fleet = TicketFleet(seed=1)
            real_put = fleet.store.put

            async def lossy_put(key: str, value: bytes, **options: Any) -> Any:
                result = await real_put(key, value, **options)
                if key.startswith("tickets/"):
                    return Err(StoreError(StoreErrorKind.UNKNOWN, "no reply"))
                return result

            async with running(fleet, 6):
                fleet.store.put = lossy_put
                accepted = await fleet.ticket_admins["n0"].submit_ticket(ticket_body(1))
                self.assertEqual(accepted, Ok(TicketAccepted(1, repeated=False)))
                await until(lambda: fleet.all_at(1), limit_s=SPREAD_S)

        run_virtual(body, seed=1)

    def test_a_number_beyond_the_next_is_rejected_and_the_error_names_the_next(self) -> None:
        async def body() -> None:
            fleet = TicketFleet(seed=1)
            async with running(fleet, 6):
                refused = await fleet.ticket_admins["n0"].submit_ticket(ticket_body(5))
                self.assertIs(refused.err_value.kind, ErrorKind.TICKET_INVALID)
                self.assertIn("allowed is 1", refused.err_value.detail)
                self.assertTrue(isinstance(await fleet.store.get(ticket_key(5)), Err))

        run_virtual(body, seed=1)

    def test_a_ticket_after_a_gap_waits_and_its_status_is_waiting(self) -> None:
        async def body() -> None:
            fleet = TicketFleet(seed=1)
            async with running(fleet, 6):
                await until(fleet.all_current, limit_s=5)
                await fleet.store.put(ticket_key(2), ticket_body(2))
                await anyio.sleep(3)
                self.assertTrue(fleet.all_at(0))
                self.assertTrue(any(log.applied.waiting == [2] for log in fleet.logs.values()))
                status = (await fleet.ticket_admins["n0"].ticket_status(2)).ok_value
                self.assertIs(status.state, TicketState.WAITING)
                await fleet.ticket_admins["n0"].submit_ticket(ticket_body(1))
                await until(lambda: fleet.all_at(2), limit_s=SPREAD_S)

        run_virtual(body, seed=1)

    def test_a_submission_during_a_store_outage_has_no_effect(self) -> None:
        async def body() -> None:
            fleet = TicketFleet(seed=1)
            async with running(fleet, 6):
                await until(fleet.all_current, limit_s=5)
                fleet.store_out = True
                refused = await fleet.ticket_admins["n0"].submit_ticket(ticket_body(1))
                self.assertIs(refused.err_value.kind, ErrorKind.STORE_UNAVAILABLE)
                fleet.store_out = False
                await anyio.sleep(3)
                self.assertTrue(fleet.all_at(0))

        run_virtual(body, seed=1)


class CurrencyTest(unittest.TestCase):
    def test_all_nodes_stay_current_through_a_confirmed_outage(self) -> None:
        async def body(seed: int) -> None:
            fleet = TicketFleet(seed=seed)
            async with running(fleet, 12):
                await until(fleet.all_current, limit_s=5)
                fleet.store_out = True
                for _ in range(200):
                    await anyio.sleep(0.1)
                    self.assertTrue(fleet.all_current())
                fleet.store_out = False
                for _ in range(50):
                    await anyio.sleep(0.1)
                    self.assertTrue(fleet.all_current())

        for seed in SEEDS:
            run_virtual(lambda seed=seed: body(seed), seed=seed)

    def test_a_data_centre_cut_off_from_the_store_gets_tickets_from_others(self) -> None:
        async def body(seed: int) -> None:
            fleet = TicketFleet(seed=seed)
            async with running(fleet, 12):
                await until(fleet.all_current, limit_s=5)
                fleet.cut_from_store |= {host(i) for i in range(12) if i % 4 == 1}
                await fleet.ticket_admins["n0"].submit_ticket(ticket_body(1))
                await until(lambda: fleet.all_at(1), limit_s=SPREAD_S + 1)
                await anyio.sleep(5)
                self.assertTrue(fleet.all_current())

        for seed in SEEDS:
            run_virtual(lambda seed=seed: body(seed), seed=seed)

    def test_a_region_cut_off_from_store_and_peers_is_not_current(self) -> None:
        async def body(seed: int) -> None:
            fleet = TicketFleet(seed=seed)
            async with running(fleet, 12):
                await until(fleet.all_current, limit_s=5)
                west = [i for i in range(12) if i % 4 < 2]
                east = [i for i in range(12) if i % 4 >= 2]
                for a in west:
                    fleet.cut_from_store.add(host(a))
                    for b in east:
                        fleet.network.cut(host(a), host(b))
                await anyio.sleep(5)
                for _ in range(100):
                    await anyio.sleep(0.5)
                    self.assertFalse(any(fleet.logs[f"n{i}"].is_current() for i in west))
                    self.assertTrue(all(fleet.logs[f"n{i}"].is_current() for i in east))

        for seed in SEEDS:
            run_virtual(lambda seed=seed: body(seed), seed=seed)

    def test_a_node_cut_off_from_everything_is_not_current(self) -> None:
        async def body() -> None:
            fleet = TicketFleet(seed=1)
            async with running(fleet, 8):
                await until(fleet.all_current, limit_s=5)
                fleet.cut_from_store.add(host(0))
                for i in range(1, 8):
                    fleet.network.cut(host(0), host(i))
                await anyio.sleep(3.5)
                self.assertFalse(fleet.logs["n0"].is_current())

        run_virtual(body, seed=1)

    def test_a_paused_node_is_not_current_when_late_pushes_reach_it(self) -> None:
        async def body(seed: int) -> None:
            fleet = TicketFleet(seed=seed)
            async with running(fleet, 8):
                await until(fleet.all_current, limit_s=5)
                fleet.network.freeze(host(0))
                await anyio.sleep(2)
                await fleet.ticket_admins["n1"].submit_ticket(ticket_body(1))
                await anyio.sleep(20)
                self.assertFalse(fleet.logs["n0"].is_current())
                fleet.network.thaw(host(0))
                while fleet.logs["n0"].config.number == 0:
                    self.assertFalse(fleet.logs["n0"].is_current())
                    await anyio.sleep(0.001)

        for seed in SEEDS:
            run_virtual(lambda seed=seed: body(seed), seed=seed)

    def test_a_ticket_is_found_when_watches_miss_changes(self) -> None:
        async def body() -> None:
            fleet = TicketFleet(seed=1)
            real = fleet.store.watch

            async def watch_missing_changes(
                prefix: str, *, after_revision: int, timeout_s: float
            ) -> Any:
                await anyio.sleep(timeout_s)
                page = await real(prefix, after_revision=after_revision, timeout_s=0)
                return page.map(lambda found: found._replace(changes=()))

            async with running(fleet, 8):
                fleet.store.watch = watch_missing_changes
                await until(fleet.all_current, limit_s=5)
                await fleet.store.put(ticket_key(1), ticket_body(1))
                await until(lambda: fleet.all_at(1), limit_s=SPREAD_S)

        run_virtual(body, seed=1)

    def test_a_restart_with_stale_reads_is_not_current_before_it_catches_up_with_peers(
        self,
    ) -> None:
        async def body(seed: int) -> None:
            fleet = TicketFleet(seed=seed)
            async with running(fleet, 6) as tasks:
                for number in range(1, 4):
                    await fleet.ticket_admins["n0"].submit_ticket(ticket_body(number))
                await until(lambda: fleet.all_at(3), limit_s=SPREAD_S)
                fleet.kill(2)
                real_get, real_list = fleet.store.get, fleet.store.list

                async def stale_get(key: str, **options: Any) -> Any:
                    if key == ticket_key(3):
                        return Err(StoreError(StoreErrorKind.NOT_FOUND, key))
                    return await real_get(key, **options)

                async def stale_list(prefix: str, **options: Any) -> Any:
                    found = await real_list(prefix, **options)
                    return found.map(lambda items: [i for i in items if i.key != ticket_key(3)])

                fleet.store.get, fleet.store.list = stale_get, stale_list
                await fleet.start(tasks, 2)
                log = fleet.logs["n2"]
                while log.config.number < 3:
                    self.assertFalse(log.is_current())
                    await anyio.sleep(0.01)
                await until(log.is_current, limit_s=5)

        for seed in SEEDS:
            run_virtual(lambda seed=seed: body(seed), seed=seed)


class SpreadTest(unittest.TestCase):
    def test_dead_relay_nodes_do_not_delay_a_ticket(self) -> None:
        async def body(seed: int, relay: str) -> None:
            fleet = TicketFleet(seed=seed, relay=relay)
            async with running(fleet, 24):
                await until(fleet.all_current, limit_s=5)
                for i in (3, 8, 13):
                    fleet.kill(i)
                await fleet.ticket_admins["n0"].submit_ticket(ticket_body(1))
                await until(lambda: fleet.all_at(1), limit_s=SPREAD_S)

        for relay in ("tree", "lrf", "random"):
            for seed in SEEDS:
                run_virtual(lambda seed=seed, relay=relay: body(seed, relay), seed=seed)

    def test_the_parent_of_a_dead_relay_node_pushes_to_its_children(self) -> None:
        async def body(seed: int) -> None:
            fleet = TicketFleet(seed=seed)
            fleet.tickets = TicketSettings(watchers_per_data_centre=1, fanout=1)
            async with running(fleet, 24):
                await until(fleet.all_current, limit_s=5)
                await anyio.sleep(2)
                for centre in range(4):
                    fleet.kill(second_in_chain(fleet, f"d{centre}"))
                submitter = fleet.ticket_admins[min(fleet.ticket_admins)]
                await submitter.submit_ticket(ticket_body(1))
                await until(lambda: fleet.all_at(1), limit_s=0.6)

        for seed in SEEDS:
            run_virtual(lambda seed=seed: body(seed), seed=seed)

    def test_a_new_node_reads_a_snapshot_and_only_later_tickets(self) -> None:
        async def body() -> None:
            fleet = TicketFleet(seed=1)
            async with running(fleet, 6) as tasks:
                for number in range(1, 121):
                    accepted = await fleet.ticket_admins["n0"].submit_ticket(ticket_body(number))
                    self.assertTrue(isinstance(accepted, Ok), accepted)
                await until(lambda: fleet.all_at(120), limit_s=SPREAD_S)
                self.assertTrue(isinstance(await fleet.store.get(SNAPSHOT_KEY), Ok))
                await fleet.start(tasks, 6)
                await until(fleet.logs["n6"].is_current, limit_s=5)
                self.assertEqual(fleet.logs["n6"].config.number, 120)
                self.assertLessEqual(len(fleet.logs["n6"].applied._bodies), 50)

        run_virtual(body, seed=1)

    def test_a_ticket_of_a_newer_release_blocks_the_log_with_a_reason(self) -> None:
        async def body() -> None:
            fleet = TicketFleet(seed=1)
            async with running(fleet, 6):
                await until(fleet.all_current, limit_s=5)
                await fleet.store.put(ticket_key(1), ticket_body(1, new_field=1))
                await until(fleet.none_current, limit_s=8)
                stuck = [log.applied.stuck for log in fleet.logs.values() if log.applied.stuck]
                self.assertIn("ticket 1", stuck[0])

        run_virtual(body, seed=1)

    def test_two_bodies_under_one_number_are_reported_as_a_violation(self) -> None:
        async def body() -> None:
            fleet = TicketFleet(seed=1)
            async with running(fleet, 6):
                log = fleet.logs["n0"]
                log.learn(1, ticket_body(1))
                log.learn(1, ticket_body(1, "other"))
                self.assertEqual(len(fleet.promises["n0"].violations), 1)

        run_virtual(body, seed=1)


if __name__ == "__main__":
    unittest.main()
