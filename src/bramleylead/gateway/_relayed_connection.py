"""A request that another gateway sends to a replica, behind the interface of a connection to it."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import Any
from typing import final

import anyio
import structlog
from result import Err

from bramleylead.connection import Failed
from bramleylead.connection import PeerCall
from bramleylead.errors import ANSWERS
from bramleylead.errors import Ran
from bramleylead.gateway._relay_messages import RelayBroken
from bramleylead.gateway._relay_messages import RelayedChunk
from bramleylead.gateway._relay_messages import RelayedEnd
from bramleylead.gateway._relay_messages import RelayedHead
from bramleylead.gateway._relay_messages import RelayRefusal
from bramleylead.gateway._relay_messages import RelayRefused
from bramleylead.gateway._relay_messages import RelayRequest
from bramleylead.gateway._relays import Relays
from bramleylead.gateway._replica_connection import NotSentError
from bramleylead.gateway._replica_connection import RequestHead
from bramleylead.gateway._replica_connection import ResponseHead
from bramleylead.gateway._replica_connection import UpstreamError
from bramleylead.ledger._relay_table import RelayGateway
from bramleylead.platform._types import Replica

MAX_RELAYS_TRIED = 3
MIN_UNREACHED = 2
"""So many other gateways must fail to reach a replica for it to count as down."""
CONNECT_TIMEOUT_S = 0.3
MAX_RELAYED_BYTES = 3_800_000
"""A request is passed on in one message."""

log = structlog.get_logger()


@final
class RelayedConnection:
    """Carries one request.

    :param idempotent: whether the request may be sent to another replica if this one falls silent.
    :param deadline: the event loop's time by which the request is given up.
    """

    reusable = False

    def __init__(
        self, relays: Relays, replica: Replica, *, idempotent: bool, deadline: float
    ) -> None:
        self._relays = relays
        self._replica = replica
        self._idempotent = idempotent
        self._deadline = deadline
        self._head: RequestHead | None = None
        self._body = b""
        self._relay = ""
        self._call: PeerCall | None = None
        self._stack = AsyncExitStack()
        self._ended = False

    async def aclose(self) -> None:
        """End the request; the other gateway then closes its connection to the replica."""
        with anyio.CancelScope(shield=True):
            await self._stack.aclose()

    def start_request(self, head: RequestHead, body: bytes) -> bytes:
        """Start a request; it is sent by :meth:`read_head`.

        :raises UpstreamError: if it is too large to be passed on; nothing was sent.
        """
        if len(body) > MAX_RELAYED_BYTES:
            detail = f"request {head.request_id}: {len(body)} bytes are too many to be passed on"
            raise UpstreamError(detail)
        self._head, self._body = head, body
        return b""

    async def send(self, data: bytes) -> None:
        """Do nothing: the whole request is passed on at once."""

    async def read_head(self) -> ResponseHead:
        """Pass on the request and wait for the head of the response.

        :raises NotSentError: if no gateway has sent any byte of it to the replica.
        :raises UpstreamError: if no response was received.
        """
        await self._relays.refresh()
        detail = "no other gateway reaches replicas"
        unreached = []
        for relay in self._relays.by_preference(self._replica)[:MAX_RELAYS_TRIED]:
            answer = await self._pass_on(relay)
            if isinstance(answer, ResponseHead):
                self._relay = relay.node
                self._log_relay(relay)
                return answer
            detail = f"{relay.node}: {answer}"
            unreached.append(answer is RelayRefusal.UNREACHED)
            if answer is not RelayRefusal.NOT_LISTED:
                self._relays.record_failure(relay)
        # A single gateway that can't reach the replica may have lost its own paths.
        is_down = len(unreached) >= MIN_UNREACHED and all(unreached)
        raise NotSentError(f"{self._replica.name}: {detail}", unreached=is_down)

    async def read_chunk(self) -> bytes | None:
        """Return the next chunk of the body, or ``None`` at its end.

        :raises UpstreamError: if the response ends before the body does.
        """
        if self._ended:
            return None
        item = await self._receive()
        if isinstance(item, RelayedChunk):
            return item.data
        if isinstance(item, RelayedEnd):
            self._ended = True
            return None
        raise _error_of(item)

    async def discard_body(self) -> None:
        """Read to the end of the body.

        :raises UpstreamError: if the response ends before the body does.
        """
        while await self.read_chunk() is not None:
            pass

    async def _pass_on(self, relay: RelayGateway) -> ResponseHead | RelayRefusal | str:
        """Return the head of the response, or why the request was not sent.

        :raises UpstreamError: if it may have been sent.
        """
        await self._stack.aclose()
        self._stack = AsyncExitStack()
        opened = None
        with anyio.move_on_after(CONNECT_TIMEOUT_S):
            stream = self._relays.peers.stream(relay.address, self._new_request())
            opened = await self._stack.enter_async_context(stream)
        if opened is None:
            return f"can't connect within {CONNECT_TIMEOUT_S} s"
        if isinstance(opened, Err):
            return opened.err_value.detail
        self._call = opened.ok_value
        item = await self._receive()
        if isinstance(item, RelayRefused):
            return item.reason
        if isinstance(item, Failed) and ANSWERS[item.kind].ran is Ran.NOT_RUN:
            return item.detail
        if isinstance(item, RelayedHead):
            return ResponseHead(item.status, list(item.headers))
        raise _error_of(item)

    def _new_request(self) -> RelayRequest:
        assert self._head is not None, "read_head is called after start_request"
        return RelayRequest(
            replica=self._replica.name,
            idempotent=self._idempotent,
            timeout_s=max(0.0, self._deadline - anyio.current_time()),
            method=self._head.method,
            target=self._head.target,
            headers=tuple(self._head.headers),
            request_id=self._head.request_id,
            body=self._body,
            software=self._replica.software,
        )

    async def _receive(self) -> Any:
        assert self._call is not None
        try:
            return await self._call.receive()
        except anyio.EndOfStream:
            raise UpstreamError(f"gateway {self._relay}: the connection broke") from None

    def _log_relay(self, relay: RelayGateway) -> None:
        assert self._head is not None
        log.info(
            "sent_through_gateway",
            request=self._head.request_id,
            replica=self._replica.name,
            gateway=relay.node,
        )


def _error_of(item: Any) -> UpstreamError:
    """Return the error for a message that ends a response before it is complete."""
    if isinstance(item, RelayBroken):
        return UpstreamError(
            item.detail, connection_lost=item.connection_lost, path_lost=item.path_lost
        )
    if isinstance(item, Failed):
        return UpstreamError(item.detail)
    return UpstreamError(f"unexpected {type(item).__name__} from another gateway")
