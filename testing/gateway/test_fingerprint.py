"""Requests that differ only by what each attempt sets anew have the same fingerprint."""

from __future__ import annotations

import unittest

from bramleylead.gateway._fingerprint import BEGINNING_BYTES
from bramleylead.gateway._fingerprint import fingerprint_of

HEADERS = [("host", "site.example"), ("bramleylead-request-id", "q1"), ("authorization", "k1")]


class FingerprintTest(unittest.TestCase):
    def test_an_attempt_under_another_id_has_the_same_fingerprint(self) -> None:
        again = [HEADERS[0], ("bramleylead-request-id", "q2"), ("last-event-id", "3"), HEADERS[2]]
        self.assertEqual(
            fingerprint_of("POST", "/x", HEADERS, b"body"),
            fingerprint_of("POST", "/x", again, b"body"),
        )

    def test_another_target_caller_or_body_has_another_fingerprint(self) -> None:
        other_caller = [*HEADERS[:2], ("authorization", "k2")]
        fingerprints = {
            fingerprint_of("POST", "/x", HEADERS, b"body"),
            fingerprint_of("PUT", "/x", HEADERS, b"body"),
            fingerprint_of("POST", "/y", HEADERS, b"body"),
            fingerprint_of("POST", "/x", other_caller, b"body"),
            fingerprint_of("POST", "/x", HEADERS, b"other body"),
        }
        self.assertEqual(len({found.whole for found in fingerprints}), 5)
        self.assertEqual(len({found.beginning for found in fingerprints}), 5)

    def test_a_longer_body_has_the_same_beginning(self) -> None:
        body = b"x" * BEGINNING_BYTES
        first = fingerprint_of("POST", "/x", HEADERS, body)
        longer = fingerprint_of("POST", "/x", HEADERS, body + b"next turn")
        self.assertNotEqual(first.whole, longer.whole)
        self.assertEqual(first.beginning, longer.beginning)
