"""Customers and their keys, as a configuration lists them."""

from __future__ import annotations

import unittest

from bramleylead.customers import Customer
from bramleylead.customers import CustomerKeys
from bramleylead.customers import Quota
from bramleylead.customers import index_customers

ANN = Customer("ann")
BEN = Customer("ben")


class CustomersTest(unittest.TestCase):
    def test_a_customer_is_found_by_each_of_its_keys(self) -> None:
        customers = index_customers([CustomerKeys(ANN, ("k1", "k2")), CustomerKeys(BEN, ("k3",))])
        found = [customers.find(key) for key in ("k1", "k2", "k3", "k4", "")]
        self.assertEqual(found, [ANN, ANN, BEN, None, None])

    # Guards against keys in logs and dumps, which show what an object contains.
    def test_no_key_can_be_read_from_the_index_or_from_an_error(self) -> None:
        customers = index_customers([CustomerKeys(ANN, ("secret-key",))])
        self.assertNotIn("secret", repr(customers))
        with self.assertRaises(ValueError) as caught:
            index_customers(
                [CustomerKeys(ANN, ("secret-key",)), CustomerKeys(BEN, ("secret-key",))]
            )
        self.assertEqual(
            str(caught.exception), "customer ben: key 1: is also a key of customer ann"
        )

    def test_names_and_keys_that_no_header_can_carry_are_refused(self) -> None:
        for name, keys in (("", ("k",)), ("a\nb", ("k",)), ("ann", ("",)), ("ann", ("k ",))):
            with self.subTest(name=name, keys=keys), self.assertRaises(ValueError):
                index_customers([CustomerKeys(Customer(name), keys)])
        with self.assertRaises(ValueError):
            index_customers([CustomerKeys(ANN, ()), CustomerKeys(ANN, ())])

    def test_a_quota_allows_its_rate_and_its_burst_in_a_window(self) -> None:
        self.assertEqual(Quota(10.0, 4.0).allowed(5.0), 54.0)
