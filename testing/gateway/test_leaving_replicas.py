"""A replica that announces in a response that it leaves gets no further request."""

from __future__ import annotations

import unittest

from bramleylead.platform._types import CallKind
from bramleylead.platform._types import Replica
from testing.gateway._site import ReceivedRequest
from testing.gateway._site import Site
from testing.gateway._site import event_stream
from testing.gateway._site import full_response
from testing.gateway._site import respond_with
from testing.gateway._site import route
from testing.gateway.test_plain_calls import ok_response
from testing.gateway.test_plain_calls import run_with_site

RESUMABLE = route(CallKind.STREAM, resumable=True)


def leaving_response(received: ReceivedRequest) -> bytes:
    return full_response(received, b"last one", "200 OK", "Server-Leaving: 1")


def leaving_broken_stream(received: ReceivedRequest) -> bytes:
    stream = event_stream(received, 1, end=False)
    return stream.replace(b"\r\n", b"\r\nServer-Leaving: 1\r\n", 1)


class LeavingReplicaTest(unittest.TestCase):
    def test_a_replica_that_leaves_gets_no_further_request_although_it_is_listed(self) -> None:
        async def main(site: Site) -> None:
            leaving = await site.add_replica("a", respond_with(leaving_response))
            other = await site.add_replica("b", respond_with(ok_response))
            for number in range(6):
                response = await site.request(
                    "/safe/x", headers={"bramleylead-request-id": f"q{number}"}
                )
                self.assertEqual(response.status, 200)
                for listed in site.directory.dump():
                    listed.pop("missing_s")
                    site.directory.put_replica(Replica(**listed))
            self.assertEqual((len(leaving.received), len(other.received)), (1, 5))

        run_with_site(main)

    def test_a_stream_is_not_resumed_at_a_replica_that_leaves(self) -> None:
        async def main(site: Site) -> None:
            leaving = await site.add_replica(
                "a", respond_with(leaving_broken_stream, then_close=True)
            )
            other = await site.add_replica("b", respond_with(lambda q: event_stream(q, 2)))
            response = await site.request("/stream/x", body=b"q")
            self.assertTrue(response.complete)
            self.assertEqual((len(leaving.received), len(other.received)), (1, 1))

        run_with_site(main, RESUMABLE)

    def test_a_replica_that_leaves_while_it_is_connected_to_gets_no_request(self) -> None:
        async def main(site: Site) -> None:
            leaving = await site.add_replica("a", respond_with(ok_response))
            other = await site.add_replica("b", respond_with(ok_response))
            connect = site.pool._connect

            async def leave_during_connect(replica: Replica) -> object:
                connected = await connect(replica)
                if replica.name == "a":
                    site.directory.put_replica(replica._replace(leaving=True))
                return connected

            site.pool._connect = leave_during_connect
            for number in range(3):
                response = await site.request(
                    "/safe/x", headers={"bramleylead-request-id": f"q{number}"}
                )
                self.assertEqual(response.status, 200)
            self.assertEqual((len(leaving.received), len(other.received)), (0, 3))

        run_with_site(main)

    def test_a_new_replica_under_the_same_name_is_used(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", respond_with(leaving_response))
            await site.request("/safe/x")
            self.assertEqual(site.directory.replicas("svc"), [])
            entry = Replica("a", "svc", "10.0.9.9:80", "d", False, 4)
            site.directory.put_replica(entry)
            self.assertEqual(site.directory.replicas("svc"), [entry])

        run_with_site(main)
