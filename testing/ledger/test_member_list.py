"""The ledger's member list in the store, as another writer may leave it."""

from __future__ import annotations

import json
import unittest

import anyio
from result import Err
from result import Ok

from bramleylead.ledger._member_list import MEMBER_LIST_KIND
from bramleylead.ledger._member_list import MEMBER_LIST_NAME
from bramleylead.ledger._member_list import StoredMemberList
from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._members import LedgerView
from bramleylead.ledger._members import view_to_plain
from bramleylead.platform._objects import PlatformStore
from bramleylead.standins._platform_store import PlatformStoreStandIn
from bramleylead.standins._serving import serve_app
from testing.platform._odd_items import NAMELESS_ITEMS
from testing.platform._odd_items import ODD_ITEMS
from testing.platform._odd_items import named

MEMBER = LedgerMember("s0", "10.0.0.1:7", "d0")
VIEW = LedgerView(7, (MEMBER, MEMBER._replace(node="s1"), MEMBER._replace(node="s2")))
PLAIN = view_to_plain(VIEW)
ODD_VIEWS = [
    {**PLAIN, "epoch": 2**64 - 1},
    {**PLAIN, "epoch": 1e300},
    {**PLAIN, "epoch": -1},
    {**PLAIN, "epoch": "8"},
    {**PLAIN, "epoch": 8.5},
    {**PLAIN, "epoch": True},
    {**PLAIN, "epoch": 0},
    {**PLAIN, "members": []},
    {**PLAIN, "members": {}},
    {**PLAIN, "members": PLAIN["members"] * 2},
    {**PLAIN, "members": [{"node": "s0"}]},
    {**PLAIN, "members": [{**MEMBER._asdict(), "disk": None}]},
]


class OddMemberListTest(unittest.TestCase):
    def test_a_list_that_names_no_members_is_unread(self) -> None:
        async def main() -> None:
            store = PlatformStoreStandIn()
            async with (
                serve_app(store.app, "127.0.0.1:0") as address,
                PlatformStore(address) as client,
            ):
                members = StoredMemberList(client)
                for plain in ODD_VIEWS:
                    store.put(MEMBER_LIST_KIND, MEMBER_LIST_NAME, plain)
                    read = await members.read()
                    self.assertIsInstance(read, Err, f"{plain}: {read}")
                for item in (*ODD_ITEMS.values(), *NAMELESS_ITEMS.values()):
                    odd = named(item, MEMBER_LIST_NAME)
                    store.put_raw(MEMBER_LIST_KIND, MEMBER_LIST_NAME, odd)
                    self.assertIsInstance(await members.read(), Err, item[:80])
                    changed = await members.change(VIEW, VIEW.without("s2"))
                    self.assertIsInstance(changed, Err, item[:80])
                store.put(MEMBER_LIST_KIND, MEMBER_LIST_NAME, json.loads(json.dumps(PLAIN)))
                self.assertEqual(await members.read(), Ok(VIEW))

        anyio.run(main)
