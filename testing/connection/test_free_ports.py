"""Ports that are chosen a moment before they are bound."""

from __future__ import annotations

import socket
import unittest

from bramleylead.connection._free_ports import EPHEMERAL_RANGE_FILE
from bramleylead.connection._free_ports import find_free_port

HOST = "127.0.0.1"


class FreePortTest(unittest.TestCase):
    # Guards against "address already in use": an outgoing connection of another process got a port
    # of the ephemeral range after it was chosen and before it was bound.
    def test_no_outgoing_connection_can_take_the_port(self) -> None:
        first = int(EPHEMERAL_RANGE_FILE.read_text().split()[0])
        self.assertTrue(all(find_free_port(HOST) < first for _ in range(50)))

    def test_a_port_is_given_once_and_only_if_nothing_listens(self) -> None:
        with socket.socket() as listener:
            listener.bind((HOST, find_free_port(HOST)))
            listener.listen()
            ports = [find_free_port(HOST) for _ in range(50)]
            self.assertNotIn(listener.getsockname()[1], ports)
        self.assertEqual(len(set(ports)), 50)
