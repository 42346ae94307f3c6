"""Written configurations and replica entries are parsed to the same values."""

from __future__ import annotations

import unittest

from bramleylead.platform._decode import read_configuration
from bramleylead.platform._decode import read_replica
from bramleylead.platform._encode import write_configuration
from bramleylead.platform._encode import write_replica
from bramleylead.platform._types import Replica
from testing.platform.test_decode import ROUTE
from testing.platform.test_decode import configuration_with


class EncodeTest(unittest.TestCase):
    def test_a_configuration_is_unchanged_by_a_round_trip(self) -> None:
        read = read_configuration(configuration_with(ROUTE))
        self.assertEqual(read_configuration(write_configuration(read)), read)

    def test_a_replica_is_unchanged_by_a_round_trip(self) -> None:
        for leaving in (False, True):
            replica = Replica("i-1", "s", "10.0.0.1:80", "d", leaving, 4, "v1")
            self.assertEqual(read_replica("i-1", write_replica(replica)), replica)
