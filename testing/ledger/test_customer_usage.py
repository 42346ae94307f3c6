"""The counts of customers' requests reach every ledger node, and older builds' messages decode."""

from __future__ import annotations

import unittest

import msgpack

from bramleylead.connection._codec import decode
from bramleylead.connection._codec import encode
from bramleylead.ledger._customer_usage import CustomerCount
from bramleylead.ledger._customer_usage import CustomerUsage
from bramleylead.ledger._customer_usage import CustomerUse
from bramleylead.ledger._customer_usage import HeardGateway
from bramleylead.ledger._messages import DrawPermits
from bramleylead.ledger._messages import Permits
from bramleylead.ledger._messages import ShareLoads
from bramleylead.ledger._mirror import AskMirror
from bramleylead.ledger._mirror import Mirrored
from bramleylead.ledger._quota_owner import QuotaOwner

COUNT = CustomerCount("a", 20.0, 10.0, 60.0)
SENT_BY_OLDER_BUILDS = {
    AskMirror: 8,
    Mirrored: 9,
    ShareLoads: 4,
}
"""The number of fields before quotas were added."""
MESSAGES = (
    AskMirror("kind", 3, False, 0.8, "g", 1.5, "g:81", "d", (COUNT,), True),
    Mirrored(False, (), 3, -1.0, 2, 0.1, 0.5, 0.2, (), (CustomerUse("a", 30.0),), 63, ("s0",)),
    ShareLoads((), "s0", 1.5, (), (COUNT,), (HeardGateway("g", 0.1),), True),
    DrawPermits("a", 10.0, 10.0, 3, 2, "g", 7, 1, 2),
    Permits(2, 0.1, False),
)


class MessagesTest(unittest.TestCase):
    def test_messages_decode_as_they_were_sent(self) -> None:
        for sent in MESSAGES:
            self.assertEqual(sent, decode(encode(sent)))

    def test_messages_of_older_builds_decode(self) -> None:
        """Guards against a new build that refuses messages without the new fields."""
        for sent in MESSAGES:
            fields = SENT_BY_OLDER_BUILDS.get(type(sent))
            if fields is None:
                continue
            plain = msgpack.unpackb(encode(sent))
            received = decode(msgpack.packb(plain[: 1 + fields]))
            self.assertEqual(tuple(sent)[:fields], tuple(received)[:fields])
            defaults = type(sent)._field_defaults
            for name in type(sent)._fields[fields:]:
                self.assertEqual(defaults[name], getattr(received, name))


class CustomerUsageTest(unittest.TestCase):
    def usage(self) -> CustomerUsage:
        return CustomerUsage(now=0.0)

    def test_counts_of_all_nodes_are_summed(self) -> None:
        usage = self.usage()
        usage.record_gateway("g0", (COUNT,), now=1.0)
        usage.record_member("s1", (COUNT,), [HeardGateway("g1", 0.0)], now=1.0)
        self.assertEqual((40.0, 20.0, 0.0), usage.known_use("a", now=1.0))
        self.assertEqual((CustomerUse("a", 60.0),), usage.high_use(now=1.0))
        self.assertEqual(2, usage.known_gateways(now=1.0))

    def test_only_customers_above_a_quarter_of_their_allowance_are_reported(self) -> None:
        """Guards against answers that grow with the number of customers."""
        usage = self.usage()
        usage.record_gateway("g0", (CustomerCount("b", 15.0, 0.0, 60.0),), now=1.0)
        self.assertEqual((), usage.high_use(now=1.0))

    def test_a_gateway_that_reports_to_another_node_is_counted_once(self) -> None:
        """Guards against counting a gateway twice after its node failed."""
        usage = self.usage()
        usage.record_gateway("g0", (COUNT,), now=1.0)
        usage.record_member("s1", (COUNT,), [HeardGateway("g0", 0.1)], now=2.0)
        self.assertEqual(20.0, usage.known_use("a", now=2.0).free)
        self.assertEqual((), usage.own_totals(now=2.0))

    def test_counts_of_a_silent_gateway_age(self) -> None:
        """Guards against counts that stay when a gateway is killed."""
        usage = self.usage()
        usage.record_gateway("g0", (COUNT,), now=1.0)
        self.assertEqual(20.0, usage.known_use("a", now=2.5).free)
        self.assertAlmostEqual(10.0, usage.known_use("a", now=4.25).free)
        self.assertEqual(0.0, usage.known_use("a", now=6.5).free)

    def test_the_share_of_the_gateways_heard_from(self) -> None:
        """Guards against granting the whole rate while gateways are cut off."""
        usage = self.usage()
        self.assertEqual(1.0, usage.heard_share(now=0.0))
        usage.record_gateway("g0", (), now=0.0)
        usage.record_gateway("g1", (), now=10.0)
        self.assertEqual(0.5, usage.heard_share(now=10.0))
        self.assertEqual(1.0, usage.heard_share(now=31.0 + 10.0))

    def test_a_sudden_rise_is_noticed(self) -> None:
        """Guards against gateways that learn of a flood only with their next question."""
        usage = self.usage()
        usage.record_gateway("g0", (CustomerCount("a", 20.0, 0.0, 60.0),), now=0.0)
        self.assertFalse(usage.has_risen(now=0.0))
        usage.record_gateway("g0", (CustomerCount("a", 50.0, 0.0, 60.0),), now=0.5)
        self.assertTrue(usage.has_risen(now=0.5))
        self.assertFalse(usage.has_risen(now=2.0))


class QuotaOwnerTest(unittest.TestCase):
    def draw(self, owner: QuotaOwner, *, now: float, count: int = 100, **fields: object) -> int:
        request = DrawPermits("a", 10.0, 10.0, count, count, "g")
        return owner.draw(request._replace(**fields), now=now).granted

    def test_an_owner_that_has_just_started_grants_what_accrues(self) -> None:
        """Guards against a second burst after a restart at the limit."""
        owner = QuotaOwner(CustomerUsage(now=0.0), is_member=lambda: True)
        self.assertEqual(0, self.draw(owner, now=0.1))
        self.assertEqual(10, self.draw(owner, now=1.1))

    def test_what_gateways_say_of_themselves_counts_before_it_is_reported(self) -> None:
        """Guards against granting again what a gateway admitted since its last report."""
        owner = QuotaOwner(CustomerUsage(now=0.0), is_member=lambda: True)
        self.assertEqual(0, self.draw(owner, now=10.0, gateway="h", recent=70, unreported=70))
        self.assertEqual(0, self.draw(owner, now=10.0, gateway="g"))

    def test_idle_customers_are_forgotten(self) -> None:
        """Guards against memory that grows with the names of customers."""
        owner = QuotaOwner(CustomerUsage(now=0.0), is_member=lambda: True)
        for number in range(100):
            self.draw(owner, now=10.0, customer=f"c{number}")
        self.draw(owner, now=50.0)
        self.draw(owner, now=100.0)
        self.assertLessEqual(len(owner._customers), 1)
