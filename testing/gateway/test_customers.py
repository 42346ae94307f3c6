"""Customers at a gateway: their keys, what replicas and logs learn, and whose turn it is."""

from __future__ import annotations

import unittest

import anyio
import structlog
from result import Ok

from bramleylead.customers import Customer
from bramleylead.customers import CustomerKeys
from bramleylead.customers import index_customers
from bramleylead.gateway._authentication import MAX_CONFIGURATION_AGE_S
from bramleylead.ledger._entries import customer_of
from bramleylead.ledger._entries import new_entry
from bramleylead.ledger._entries import request_of
from bramleylead.ledger._records import KeptTurn
from bramleylead.platform._types import CallKind
from testing.gateway._site import ReceivedResponse
from testing.gateway._site import Site
from testing.gateway._site import configuration
from testing.gateway._site import event_stream
from testing.gateway._site import respond_with
from testing.gateway._site import route
from testing.gateway.test_plain_calls import ok_response
from testing.gateway.test_plain_calls import run_with_site

SAFE = route(CallKind.SAFE)
TURNS = route(CallKind.STREAM, retains_turns=True)
OPEN = route(CallKind.SAFE, name="open", path_prefix="/open/", public=True)
ROUTES = (SAFE, TURNS, OPEN)
BUDGET = {"bramleylead-token-budget": "100", "bramleylead-token-usage": "50,20"}


class FreshSource:
    """A source that confirmed everything a given time ago."""

    def __init__(self) -> None:
        self.age_s = 0.5

    def confirmed_at(self, kind: str) -> float:
        return anyio.current_time() - self.age_s


async def add_customers(site: Site, *, version: int = 2, **keys: str) -> FreshSource:
    """Put a configuration in force that gives each customer one key."""
    entries = [CustomerKeys(Customer(name), (key,)) for name, key in keys.items()]
    made = configuration(*ROUTES, version=version)._replace(customers=index_customers(entries))
    site.directory.apply_configuration(made, source="test")
    source = FreshSource()
    site.directory.set_source(source)  # type: ignore[arg-type]
    return source


async def ask(site: Site, key: str, path: str = "/safe/x", **headers: str) -> ReceivedResponse:
    named = {f"bramleylead-{name.replace('_', '-')}": value for name, value in headers.items()}
    return await site.request(path, headers={"bramleylead-credential": key, **named})


class KeyTest(unittest.TestCase):
    # Guards against replicas that learn keys, or that believe a caller who claims to be another.
    def test_a_replica_gets_the_customer_that_has_the_key_and_not_the_key(self) -> None:
        async def main(site: Site) -> None:
            replica = await site.add_replica("a", respond_with(ok_response))
            await add_customers(site, ann="key-of-ann", ben="key-of-ben")
            response = await ask(site, "key-of-ben", tenant="ann")
            self.assertEqual(response.status, 200)
            (received,) = replica.received
            self.assertEqual(received.headers["bramleylead-tenant"], "ben")
            self.assertNotIn("key-of-ben", repr(received))

        run_with_site(main, *ROUTES)

    def test_an_unknown_or_missing_key_is_refused_and_the_request_not_sent(self) -> None:
        async def main(site: Site) -> None:
            replica = await site.add_replica("a", respond_with(ok_response))
            await add_customers(site, ann="key-of-ann")
            for key in ("", "key-of-ben", "key-of-ann "):
                self.assertEqual((await ask(site, key)).status, 401, key)
            self.assertEqual((await site.request("/safe/x")).status, 401)
            self.assertEqual(replica.received, [])

        run_with_site(main, *ROUTES)

    # Guards against 401 for a key that a newer version has, which ends a caller's program.
    def test_an_unknown_key_is_in_doubt_while_a_newer_version_may_have_it(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", respond_with(ok_response))
            source = await add_customers(site, ann="key-of-ann")
            source.age_s = MAX_CONFIGURATION_AGE_S + 0.1
            response = await ask(site, "key-of-ben")
            self.assertEqual((response.status, "retry-after" in response.headers), (503, True))
            self.assertEqual((await ask(site, "key-of-ann")).status, 200)

        run_with_site(main, *ROUTES)

    def test_a_public_route_needs_no_key_and_passes_none_on(self) -> None:
        async def main(site: Site) -> None:
            replica = await site.add_replica("a", respond_with(ok_response))
            await add_customers(site, ann="key-of-ann")
            for key in ("", "anything", "key-of-ann"):
                self.assertEqual((await ask(site, key, "/open/x", tenant="ann")).status, 200)
            sent = [name for received in replica.received for name in received.headers]
            self.assertNotIn("bramleylead-credential", sent)
            self.assertNotIn("bramleylead-tenant", sent)

        run_with_site(main, *ROUTES)

    def test_a_version_moves_a_key_to_another_customer_or_takes_it_away(self) -> None:
        async def main(site: Site) -> None:
            replica = await site.add_replica("a", respond_with(ok_response))
            await add_customers(site, ann="key")
            self.assertEqual((await ask(site, "key")).status, 200)
            await add_customers(site, version=3, ben="key")
            self.assertEqual((await ask(site, "key")).status, 200)
            await add_customers(site, version=4, ben="other")
            self.assertEqual((await ask(site, "key")).status, 401)
            customers = [received.headers["bramleylead-tenant"] for received in replica.received]
            self.assertEqual(customers, ["ann", "ben"])

        run_with_site(main, *ROUTES)

    # Guards against a gateway and a replica that go by another one of two keys.
    def test_two_keys_or_a_key_for_the_connection_only_are_refused(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", respond_with(ok_response))
            await add_customers(site, ann="key")
            twice = {"Bramleylead-Credential": "key", "bramleylead-credential": "key"}
            self.assertEqual((await site.request("/safe/x", headers=twice)).status, 400)
            named = {"connection": "bramleylead-credential", "bramleylead-credential": "key"}
            self.assertEqual((await site.request("/safe/x", headers=named)).status, 400)

        run_with_site(main, *ROUTES)

    # Guards against keys in logs, where more people read them than may use them.
    def test_no_log_line_and_no_answer_shows_a_key(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", respond_with(ok_response))
            await add_customers(site, ann="key-of-ann")
            responses = [await ask(site, key) for key in ("key-of-ann", "key-of-ben")]
            self.assertNotIn(b"key-of", b"".join(response.body for response in responses))

        with structlog.testing.capture_logs() as lines:
            run_with_site(main, *ROUTES)
        self.assertIn("ann", repr(lines))
        self.assertNotIn("key-of", repr(lines))


class TurnOwnerTest(unittest.TestCase):
    # Guards against a customer who reads another one's conversation by naming a turn of it.
    def test_a_turn_can_be_continued_by_its_customer_only(self) -> None:
        async def main(site: Site) -> None:
            replica = await site.add_replica("a", respond_with(lambda got: event_stream(got, 1)))
            await add_customers(site, ann="k1", ben="k2")
            headers = {"request_id": "t1", "program_id": "p"}
            for extra in ({}, BUDGET):
                named = {name[12:].replace("-", "_"): value for name, value in extra.items()}
                await ask(site, "k1", "/stream/x", **headers, **named)
                other = await ask(site, "k2", "/stream/x", previous_turn="t1", program_id="p")
                own = await ask(site, "k1", "/stream/x", previous_turn="t1", program_id="q")
                self.assertEqual((other.status, own.status), (404, 200))
            self.assertEqual(len(replica.received), 4)

        run_with_site(main, *ROUTES)

    def test_a_turn_without_a_customer_can_be_continued_by_its_program_only(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", respond_with(lambda got: event_stream(got, 1)))
            await add_customers(site, ann="k1")
            turn = KeptTurn("t1", "", "p", "t1.0a1b2c3d", 10, 60.0, b"in", b"out\n")
            self.assertEqual(await site.ledger.keep(turn), Ok(None))
            own = await ask(site, "k1", "/stream/x", previous_turn="t1", program_id="p")
            other = await ask(site, "k1", "/stream/x", previous_turn="t1", program_id="q")
            self.assertEqual((own.status, other.status), (200, 503))

        run_with_site(main, *ROUTES)

    def test_an_entry_tells_its_request_and_its_customer(self) -> None:
        for customer in ("", "ann", "a.b-c", "a b"):
            entry = new_entry("r.1-2", customer)
            self.assertEqual((request_of(entry), customer_of(entry)), ("r.1-2", customer))
        self.assertEqual(customer_of("r-616e6e.0a1b2c3d"), "")
