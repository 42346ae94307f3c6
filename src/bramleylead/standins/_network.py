"""A network between nodes in one process: delays by place, silence, cuts, kills and freezes.

A frozen host keeps its timers, but nothing enters or leaves it until it thaws; what it had begun
to send goes out late. That is the worst a paused process can do: acting after the pause on what it
checked before.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from typing import final

import anyio
import anyio.lowlevel
from anyio.abc import ByteStream
from anyio.abc import TaskStatus

from bramleylead.connection import Network
from bramleylead.connection._tcp import split_address

SAME_DATA_CENTRE_S = 0.0005
BETWEEN_DATA_CENTRES_S = 0.0015
BETWEEN_REGIONS_S = 0.008
QUEUED_CHUNKS = 1000


@final
class FakeNetwork:
    """All hosts of one trial, and the faults between them.

    :param places: ``(region, data centre)`` of each host.
    """

    def __init__(self, places: Mapping[str, tuple[str, str]]) -> None:
        self._places = dict(places)
        self._listeners: dict[str, _Listener] = {}
        self._pipes: set[_Pipe] = set()
        self._cuts: set[frozenset[str]] = set()
        self._hanging: set[frozenset[str]] = set()
        self._refusing: set[frozenset[str]] = set()
        self._frozen: dict[str, anyio.Event] = {}
        self._kills: dict[str, int] = {}
        self._next_port = 40_000
        self.bytes_between_regions = 0
        self.bytes_by_host: dict[str, int] = {}
        self.sends_by_host: dict[str, int] = {}

    def view(self, host: str) -> Network:
        """Return the network as seen from one host."""
        return _View(self, host)

    def place(self, host: str, region: str, data_centre: str) -> None:
        """Add a host, or move it."""
        self._places[host] = (region, data_centre)

    def cut(self, first: str, second: str, *, hang: bool = False) -> None:
        """Let nothing pass between two hosts; open streams go silent and new ones can't connect.

        :param hang: whether an attempt to connect gets no answer at all, instead of a refusal.
        """
        self._cuts.add(frozenset((first, second)))
        if hang:
            self._hanging.add(frozenset((first, second)))

    def refuse(self, first: str, second: str) -> None:
        """Refuse new streams between two hosts; open ones live on."""
        self._refusing.add(frozenset((first, second)))

    def heal(self, first: str, second: str) -> None:
        """Undo :meth:`cut` and :meth:`refuse`; streams that went silent stay so."""
        for cuts in (self._cuts, self._hanging, self._refusing):
            cuts.discard(frozenset((first, second)))

    def silence(self, first: str, second: str) -> int:
        """Make the open streams between two hosts go silent for good; new ones work."""
        between = [pipe for pipe in self._ordered_pipes() if pipe.ends == {first, second}]
        for pipe in between:
            pipe.silent = True
        return len(between)

    def reset(self, first: str, second: str) -> None:
        """Break the open streams between two hosts; both ends notice at once."""
        for pipe in self._ordered_pipes():
            if pipe.ends == {first, second}:
                pipe.put.close()

    def kill(self, host: str) -> None:
        """Drop everything of a host without a word: its listeners vanish, its streams go silent."""
        self._kills[host] = self._kills.get(host, 0) + 1
        for address in [name for name in self._listeners if split_address(name)[0] == host]:
            del self._listeners[address]
        for pipe in self._ordered_pipes():
            if host in pipe.ends:
                pipe.silent = True

    def kills(self, host: str) -> int:
        """Return how often a host was killed; other stand-ins drop what began before a kill."""
        return self._kills.get(host, 0)

    def region(self, host: str) -> str:
        """Return a host's region, empty if it has no place."""
        return self._places.get(host, ("", ""))[0]

    def freeze(self, host: str) -> None:
        """Hold everything that enters or leaves a host."""
        self._frozen.setdefault(host, anyio.Event())

    def thaw(self, host: str) -> None:
        """Undo :meth:`freeze`."""
        event = self._frozen.pop(host, None)
        if event is not None:
            event.set()

    def is_frozen(self, host: str) -> bool:
        """Whether a host is frozen."""
        return host in self._frozen

    async def pass_gate(self, host: str) -> None:
        """Wait while a host is frozen; other stand-ins call this for the host's calls."""
        while host in self._frozen:
            await self._frozen[host].wait()

    def is_cut(self, first: str, second: str) -> bool:
        """Whether nothing passes between two hosts."""
        return frozenset((first, second)) in self._cuts

    def delay_s(self, first: str, second: str) -> float:
        """One-way delay between two hosts, in seconds."""
        here, there = self._places.get(first), self._places.get(second)
        if first == second or here is None or there is None:
            return 0.0
        if here[0] != there[0]:
            return BETWEEN_REGIONS_S
        return SAME_DATA_CENTRE_S if here[1] == there[1] else BETWEEN_DATA_CENTRES_S

    def count(self, sender: str, receiver: str, size: int) -> None:
        """Add to the traffic figures."""
        self.bytes_by_host[sender] = self.bytes_by_host.get(sender, 0) + size
        self.sends_by_host[sender] = self.sends_by_host.get(sender, 0) + 1
        here, there = self._places.get(sender), self._places.get(receiver)
        if here is not None and there is not None and here[0] != there[0]:
            self.bytes_between_regions += size

    async def connect(self, source: str, address: str) -> ByteStream:
        """Open a stream from a host to an address.

        :raises OSError: if nothing listens there, or the way is cut.
        """
        target = split_address(address)[0]
        await self.pass_gate(source)
        await anyio.sleep(2 * self.delay_s(source, target))
        await self.pass_gate(target)
        if frozenset((source, target)) in self._hanging:
            await anyio.sleep_forever()
        listener = self._listeners.get(address)
        is_refused = frozenset((source, target)) in self._refusing
        if listener is None or is_refused or self.is_cut(source, target):
            raise ConnectionRefusedError(f"{source} can't connect to {address}")
        there, back = _Pipe(self, source, target), _Pipe(self, target, source)
        self._pipes |= {there, back}
        listener.accept(_Stream(self, out=back, into=there))
        return _Stream(self, out=there, into=back)

    async def listen(
        self,
        host: str,
        address: str,
        handler: Callable[[ByteStream], Awaitable[None]],
        task_status: TaskStatus[str],
    ) -> None:
        """Accept streams at an address until cancelled."""
        name, port = split_address(address)
        if port == 0:
            self._next_port += 1
            port = self._next_port
        bound = f"{name}:{port}"
        async with anyio.create_task_group() as tasks:

            def accept(stream: ByteStream) -> None:
                tasks.start_soon(_serve_one, handler, stream)

            listener = _Listener(accept)
            self._listeners[bound] = listener
            task_status.started(bound)
            try:
                await anyio.sleep_forever()
            finally:
                if self._listeners.get(bound) is listener:
                    del self._listeners[bound]

    def drop(self, pipe: _Pipe) -> None:
        """Forget a closed pipe."""
        self._pipes.discard(pipe)

    def _ordered_pipes(self) -> list[_Pipe]:
        return sorted(self._pipes, key=lambda pipe: pipe.serial)


async def _serve_one(handler: Callable[[ByteStream], Awaitable[None]], stream: ByteStream) -> None:
    async with stream:
        await handler(stream)


class _Listener:
    def __init__(self, accept: Callable[[ByteStream], None]) -> None:
        self.accept = accept


class _Pipe:
    """One direction of a stream: chunks in order, each after the delay between its ends."""

    _serials = 0

    def __init__(self, network: FakeNetwork, sender: str, receiver: str) -> None:
        _Pipe._serials += 1
        self.serial = _Pipe._serials
        self.network = network
        self.sender = sender
        self.receiver = receiver
        self.ends = {sender, receiver}
        self.silent = False
        self.is_reset = False
        self.put, self.get = anyio.create_memory_object_stream[tuple[float, bytes]](QUEUED_CHUNKS)

    async def send(self, data: bytes) -> None:
        await self.network.pass_gate(self.sender)
        if self.silent or self.network.is_cut(self.sender, self.receiver):
            self.silent = True
            await anyio.lowlevel.checkpoint()
            return
        self.network.count(self.sender, self.receiver, len(data))
        due = anyio.current_time() + self.network.delay_s(self.sender, self.receiver)
        await self.put.send((due, data))

    async def receive(self) -> bytes:
        try:
            due, data = await self.get.receive()
        except anyio.EndOfStream:
            if self.is_reset:
                raise anyio.BrokenResourceError from None
            raise
        wait = due - anyio.current_time()
        if wait > 0:
            await anyio.sleep(wait)
        await self.network.pass_gate(self.receiver)
        if self.silent:
            await anyio.sleep_forever()
        return data


class _Stream(ByteStream):
    """One end of a stream: a pipe out and a pipe in."""

    def __init__(self, network: FakeNetwork, *, out: _Pipe, into: _Pipe) -> None:
        self._network = network
        self._out = out
        self._into = into
        self._rest = b""

    async def send(self, item: bytes) -> None:
        await self._out.send(bytes(item))

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        data = self._rest or await self._into.receive()
        self._rest = data[max_bytes:]
        return data[:max_bytes]

    async def send_eof(self) -> None:
        if not self._out.silent:
            await self._out.put.aclose()

    async def reset(self) -> None:
        """Close it so that the other end gets an error after what was sent, and no end."""
        self._out.is_reset = True
        await self.aclose()

    async def aclose(self) -> None:
        if not self._out.silent:
            self._out.put.close()
        if not self._into.silent:
            self._into.get.close()
        self._network.drop(self._out)
        self._network.drop(self._into)
        await anyio.lowlevel.checkpoint()


class _View:
    """The network as one host sees it."""

    def __init__(self, network: FakeNetwork, host: str) -> None:
        self._network = network
        self._host = host

    async def connect(self, address: str) -> ByteStream:
        return await self._network.connect(self._host, address)

    async def serve(
        self,
        address: str,
        handler: Callable[[ByteStream], Awaitable[None]],
        *,
        task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        await self._network.listen(self._host, address, handler, task_status)
