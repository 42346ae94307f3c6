"""Proofs that the latest ticket is in force, and how their ages travel."""

from __future__ import annotations

import unittest

import anyio

from bramleylead.process.tickets._currency import Currency
from bramleylead.process.tickets._currency import Ticks
from bramleylead.process.tickets._ticket_messages import Proof
from bramleylead.standins import run_virtual


class TicksTest(unittest.TestCase):
    def test_a_late_message_is_dated_by_its_echo_and_not_by_its_arrival(self) -> None:
        async def body() -> float:
            ticks, currency = Ticks(first=7), Currency()
            tick = ticks.send()
            await anyio.sleep(30)
            currency.take(Proof(0, 0.2, -1.0), stated_at=ticks.stated_at(tick, 1.0))
            return currency.age_s

        self.assertAlmostEqual(run_virtual(body, seed=1), 29.2)

    def test_an_unknown_echo_dates_nothing(self) -> None:
        async def body() -> float | None:
            return Ticks(first=7).stated_at(7, 0.0)

        self.assertIsNone(run_virtual(body, seed=1))


class CurrencyTest(unittest.TestCase):
    def test_a_proof_about_a_later_ticket_counts_once_that_is_applied(self) -> None:
        async def body() -> tuple[float, float]:
            currency = Currency()
            currency.prove(3, anyio.current_time())
            await anyio.sleep(1)
            before = currency.age_s
            currency.note_applied(3)
            return before, currency.age_s

        before, after = run_virtual(body, seed=1)
        self.assertEqual(before, float("inf"))
        self.assertAlmostEqual(after, 1.0)

    def test_a_proof_about_an_earlier_ticket_counts_as_of_its_moment(self) -> None:
        async def body() -> float:
            currency = Currency()
            currency.note_applied(3)
            currency.prove(2, anyio.current_time() - 2.0)
            return currency.age_s

        self.assertAlmostEqual(run_virtual(body, seed=1), 2.0)


if __name__ == "__main__":
    unittest.main()
