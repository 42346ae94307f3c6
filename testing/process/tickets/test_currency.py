"""Proofs of having the latest ticket, and their ages in messages."""

from __future__ import annotations

import unittest

import anyio

from bramleylead.process.tickets._currency import Currency
from bramleylead.process.tickets._currency import Ticks
from bramleylead.process.tickets._ticket_messages import Proof
from bramleylead.standins import run_virtual


class TicksTest(unittest.TestCase):
    def test_the_age_of_a_delayed_message_counts_from_its_echoed_tick(self) -> None:
        async def body() -> float:
            ticks, currency = Ticks(first=7), Currency()
            tick = ticks.send()
            await anyio.sleep(30)
            currency.apply_proof(Proof(0, 0.2, -1.0), measured_at=ticks.measured_at(tick, 1.0))
            return currency.age_s

        self.assertAlmostEqual(run_virtual(body, seed=1), 29.2)

    def test_an_unknown_echo_has_no_measurement_time(self) -> None:
        async def body() -> float | None:
            return Ticks(first=7).measured_at(7, 0.0)

        self.assertIsNone(run_virtual(body, seed=1))


class CurrencyTest(unittest.TestCase):
    def test_a_proof_for_a_later_ticket_counts_once_it_is_applied(self) -> None:
        async def body() -> tuple[float, float]:
            currency = Currency()
            currency.record_proof(3, anyio.current_time())
            await anyio.sleep(1)
            before = currency.age_s
            currency.set_applied(3)
            return before, currency.age_s

        before, after = run_virtual(body, seed=1)
        self.assertEqual(before, float("inf"))
        self.assertAlmostEqual(after, 1.0)

    def test_a_proof_for_an_earlier_ticket_counts_from_its_own_time(self) -> None:
        async def body() -> float:
            currency = Currency()
            currency.set_applied(3)
            currency.record_proof(2, anyio.current_time() - 2.0)
            return currency.age_s

        self.assertAlmostEqual(run_virtual(body, seed=1), 2.0)


if __name__ == "__main__":
    unittest.main()
