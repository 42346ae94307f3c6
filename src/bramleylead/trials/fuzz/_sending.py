"""Sends the bytes of a case to a process and reads what comes back."""

from __future__ import annotations

import anyio
import h11
from anyio.abc import SocketStream

from bramleylead.connection._codec import MessageError
from bramleylead.connection._frames import FrameStream
from bramleylead.connection._handshake import client_handshake
from bramleylead.connection._tcp import split_address
from bramleylead.trials.site._proxy import ENDS

CONNECT_TIMEOUT_S = 2.0
WRITE_TIMEOUT_S = 3.0
ANSWER_TIMEOUT_S = 4.0
QUIET_S = 0.3
PART_GAP_S = 0.003
READ_BYTES = 65_536
MAX_READ_BYTES = 8_000_000
SHOWN_BYTES = 300
NODE = "odd"


async def send_bytes(address: str, parts: tuple[bytes, ...]) -> bytes:
    """Send bytes on a connection of its own; return what came until it was quiet or closed."""
    host, port = split_address(address)
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, port)
    except (OSError, TimeoutError):
        return b""
    async with stream:
        await _write(stream, parts)
        return await _read(stream)


async def send_to_node(
    address: str, parts: tuple[bytes, ...], *, key: str, handshake: bool
) -> bytes:
    """Send bytes to a port for nodes, if asked for after a handshake; return what came back."""
    if not handshake:
        return await send_bytes(address, parts)
    host, port = split_address(address)
    try:
        async with await anyio.connect_tcp(host, port) as stream:
            async with anyio.create_task_group() as tasks:
                frames = FrameStream(stream)
                tasks.start_soon(frames.run_writer)
                with anyio.fail_after(CONNECT_TIMEOUT_S):
                    await client_handshake(frames, node=NODE, key=key)
                    await frames.wait_sent()
                tasks.cancel_scope.cancel()
            await _write(stream, parts)
            return await _read(stream)
    except (*ENDS, MessageError, TimeoutError):
        return b""


def parse_answers(data: bytes, *, is_head: bool) -> list[int]:
    """Return the status of each answer, the last of which may have been broken off.

    :raises ValueError: if the bytes are no answers.
    """
    try:
        return _parse(data, is_head=is_head)
    except h11.RemoteProtocolError as error:
        raise ValueError(f"{error}: {data[:SHOWN_BYTES]!r}") from error


def _parse(data: bytes, *, is_head: bool) -> list[int]:
    statuses: list[int] = []
    if not data:
        return statuses
    reader = _reader(data, is_head=is_head)
    while True:
        event = reader.next_event()
        if isinstance(event, h11.Response):
            statuses.append(event.status_code)
        if isinstance(event, h11.EndOfMessage):
            left, _ = reader.trailing_data
            if not left:
                return statuses
            reader = _reader(left, is_head=is_head)
        if event is h11.NEED_DATA or event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
            return statuses


def _reader(data: bytes, *, is_head: bool) -> h11.Connection:
    reader = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_READ_BYTES)
    method = "HEAD" if is_head else "GET"
    reader.send(h11.Request(method=method, target="/", headers=[("host", "a")]))
    reader.send(h11.EndOfMessage())
    reader.receive_data(data)
    return reader


async def _write(stream: SocketStream, parts: tuple[bytes, ...]) -> None:
    try:
        with anyio.move_on_after(WRITE_TIMEOUT_S):
            for part in parts:
                await stream.send(part)
                await anyio.sleep(PART_GAP_S)
    except ENDS:
        return  # The process has closed the connection; what it answered may still be read.


async def _read(stream: SocketStream) -> bytes:
    received = b""
    try:
        with anyio.move_on_after(ANSWER_TIMEOUT_S):
            while len(received) < MAX_READ_BYTES:
                with anyio.fail_after(QUIET_S if received else ANSWER_TIMEOUT_S):
                    received += await stream.receive(READ_BYTES)
    except (*ENDS, TimeoutError):
        return received
    return received
