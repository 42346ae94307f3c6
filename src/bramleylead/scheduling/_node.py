"""Scheduling on a node: requests slots, and runs the dispatchers of the pools assigned to it."""

from __future__ import annotations

import random
import time
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from contextlib import asynccontextmanager
from types import TracebackType
from typing import Any
from typing import Self
from typing import final

import anyio
import xxhash
from anyio.abc import TaskGroup
from result import Err
from result import Result

from bramleylead.backends import BackendFactory
from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.fleet._members import ConfigSource
from bramleylead.fleet._members import MemberList
from bramleylead.fleet._rendezvous import pool_dispatcher
from bramleylead.metrics import Metrics
from bramleylead.node_settings import NodeSettings
from bramleylead.promises import Promises
from bramleylead.scheduling._decisions import Decision
from bramleylead.scheduling._decisions import DecisionLog
from bramleylead.scheduling._default_policy import DefaultParameters
from bramleylead.scheduling._dispatcher import Dispatcher
from bramleylead.scheduling._policy import policy_parameters
from bramleylead.scheduling._pool_chooser import PoolChoice
from bramleylead.scheduling._pool_chooser import PoolChooser
from bramleylead.scheduling._pool_chooser import Pools
from bramleylead.scheduling._pools import PoolKey
from bramleylead.scheduling._pools import pools_of
from bramleylead.scheduling._remote import RemoteScheduler
from bramleylead.scheduling._remote import SlotServer
from bramleylead.scheduling._reports import ReportReader
from bramleylead.scheduling._types import Slot
from bramleylead.scheduling._types import SlotFinished
from bramleylead.scheduling._types import SlotRequest

RETRY_DELAY_S = 0.25
"""Delay before a slot is requested again after a dispatcher could not be reached."""
CONFIG_POLL_S = 1.0
"""Maximum time between two checks for a new configuration."""


@final
class NodeScheduler:
    """Grants slots of any pool of the fleet, through dispatchers on this or other nodes.

    The node that dispatches a pool is soft state: each node determines it by rendezvous hashing
    over the members that it considers alive. While two nodes disagree, engines may be overloaded
    but no promise is broken, so a node dispatches any configured pool for which it gets a request.
    """

    def __init__(
        self,
        settings: NodeSettings,
        *,
        client: PeerClient,
        server: PeerServer,
        config: ConfigSource,
        members: MemberList,
        backends: BackendFactory,
        promises: Promises,
        metrics: Metrics | None = None,
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        self._config = config
        self._members = members
        self._backends = backends
        self._promises = promises
        parameters = policy_parameters(settings.scheduling)
        pools = parameters.pools if isinstance(parameters, DefaultParameters) else None
        self.chooser = PoolChooser(
            settings.scheduling.policy,
            pools or DefaultParameters().pools,
            rng=random.Random(xxhash.xxh64_intdigest(settings.node.encode())),
        )
        self._remote = RemoteScheduler(client, locate=self._locate, on_load=self._update_load)
        self._server = SlotServer(server, self.dispatcher)
        self._dispatchers: dict[str, Dispatcher] = {}
        self._readers: dict[str, ReportReader] = {}
        self._pool_keys: dict[str, PoolKey] = {}
        self._pools: Pools = {}
        self._config_number = -1
        self._decisions = DecisionLog()
        self._tasks: TaskGroup | None = None

    async def __aenter__(self) -> Self:
        self._tasks = anyio.create_task_group()
        await self._tasks.__aenter__()
        self._apply_config()
        self._tasks.start_soon(self._remote.run_heartbeats)
        self._tasks.start_soon(self._follow_config)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        assert self._tasks is not None
        self._tasks.cancel_scope.cancel()
        return await self._tasks.__aexit__(kind, error, trace)

    @asynccontextmanager
    async def slot(self, request: SlotRequest) -> AsyncIterator[Result[Slot, Failure]]:
        """Wait for a slot; an ``Err`` means that the call did not run.

        After a failure, the slot is requested again, from another pool if there is one: once if the
        dispatcher is overloaded, and until the deadline if it is unavailable.
        """
        started_s = anyio.current_time()
        failed_pools: list[PoolKey] = []
        while True:
            elapsed_s = anyio.current_time() - started_s
            pool_request = request._replace(
                waited_s=request.waited_s + elapsed_s,
                deadline_s=request.deadline_s - elapsed_s,
                avoid=(*request.avoid, *self.chooser.down.down_names(started_s + elapsed_s)),
            )
            choice = self._choose(pool_request._replace(avoid=request.avoid), failed_pools)
            if isinstance(choice, Failure):
                yield Err(choice)
                return
            async with self._request_slot(choice.key, pool_request) as result:
                is_final = not isinstance(result, Err) or not self._should_retry(
                    result.err_value, pool_request, failed_pools
                )
                if is_final:
                    yield result.map(self._observe_slot)
                    return
            failed_pools.append(choice.key)
            if result.err_value.kind is not ErrorKind.OVERLOADED:
                await anyio.sleep(RETRY_DELAY_S)

    def _observe_slot(self, slot: Slot) -> Slot:
        return _ObservedSlot(slot, self.chooser)

    def dispatcher(self, pool: str) -> Dispatcher | None:
        """Return the dispatcher of a pool, which is started on first use."""
        self._apply_config()
        key = self._pool_keys.get(pool)
        if key is None:
            return None
        if pool not in self._dispatchers:
            self._start_dispatcher(key)
        return self._dispatchers[pool]

    def explain(self, call: str) -> list[Decision]:
        """Return the logged decisions on a call, of this node and of its dispatchers."""
        decisions = self._decisions.for_call(call)
        for dispatcher in self._dispatchers.values():
            decisions += dispatcher.explain(call)
        return sorted(decisions)

    def dump(self) -> dict[str, Any]:
        """Return the scheduling state of this node."""
        return {
            "policy": self._settings.scheduling.policy,
            "pools": {pool: self._locate(pool) for pool in self._pool_keys},
            "dispatchers": [dispatcher.dump() for dispatcher in self._dispatchers.values()],
        }

    def _request_slot(
        self, key: PoolKey, request: SlotRequest
    ) -> AbstractAsyncContextManager[Result[Slot, Failure]]:
        pool = str(key)
        if self._is_dispatched_here(key):
            dispatcher = self.dispatcher(pool)
            assert dispatcher is not None, "pools and keys come from the same configuration"
            self._update_load(dispatcher.pool_load())
            return dispatcher.slot(request)
        return self._remote.slot(pool, request)

    def _choose(self, request: SlotRequest, failed_pools: list[PoolKey]) -> PoolChoice | Failure:
        self._apply_config()
        now = anyio.current_time()
        choice = self.chooser.choose(request, now, avoid=failed_pools)
        if choice is None:
            detail = f"no endpoint that accepts new calls serves {request.serves}"
            return Failure(ErrorKind.UNKNOWN_TARGET, detail)
        pool = str(choice.key)
        self._decisions.add(
            Decision(now, request.call, "asked", pool, request.waited_s, choice.reason)
        )
        return choice

    def _should_retry(
        self, failure: Failure, request: SlotRequest, failed_pools: list[PoolKey]
    ) -> bool:
        if failure.kind is ErrorKind.OWNER_UNAVAILABLE:
            return request.deadline_s > RETRY_DELAY_S
        pool_count = sum(1 for key in self._pools if key.serves == request.serves)
        return failure.kind is ErrorKind.OVERLOADED and not failed_pools and pool_count > 1

    def _is_dispatched_here(self, key: PoolKey) -> bool:
        member = pool_dispatcher(str(key), key.region, key.data_centre, self._members.alive())
        return member is None or member.node == self._members.self_name

    def _locate(self, pool: str) -> str | None:
        key = self._pool_keys.get(pool)
        if key is None:
            return None
        member = pool_dispatcher(pool, key.region, key.data_centre, self._members.alive())
        return None if member is None else member.address

    def _update_load(self, load: Any) -> None:
        self.chooser.update_load(load, anyio.current_time())

    async def _follow_config(self) -> None:
        while True:
            with anyio.move_on_after(CONFIG_POLL_S):
                await self._config.wait_changed(self._config_number)
            self._apply_config()
            if self._metrics is not None:
                self._set_gauges(self._metrics)

    def _set_gauges(self, metrics: Metrics) -> None:
        for name, dispatcher in self._dispatchers.items():
            metrics.queue_length.set({"pool": name}, dispatcher.pool_load().queued)
            for endpoint, view in dispatcher.endpoints.items():
                metrics.slots_used.set({"endpoint": endpoint}, view.outstanding)
                metrics.slot_limit.set({"endpoint": endpoint}, int(view.limit))

    def _apply_config(self) -> None:
        config = self._config.config
        if config.number == self._config_number:
            return
        self._config_number = config.number
        self._pools = pools_of(config.endpoints)
        self._pool_keys = {str(key): key for key in self._pools}
        self.chooser.set_pools(self._pools)
        for name in list(self._dispatchers):
            self._update_dispatcher(name)

    def _update_dispatcher(self, name: str) -> None:
        endpoints = self._pools[self._pool_keys[name]] if name in self._pool_keys else {}
        self._dispatchers[name].set_endpoints(endpoints)
        self._readers[name].set_endpoints(endpoints)
        if not endpoints:
            del self._dispatchers[name], self._readers[name]

    def _start_dispatcher(self, key: PoolKey) -> None:
        assert self._tasks is not None, "NodeScheduler is used outside its context"
        name = str(key)
        dispatcher = Dispatcher(
            name, self._settings.scheduling, promises=self._promises, clock=time.perf_counter
        )
        dispatcher.set_endpoints(self._pools[key])
        reader = ReportReader(dispatcher, self._backends)
        self._dispatchers[name] = dispatcher
        self._readers[name] = reader
        self._tasks.start_soon(reader.run)
        reader.set_endpoints(self._pools[key])


class _ObservedSlot:
    """A slot that also reports the result of its call to the pool chooser."""

    def __init__(self, slot: Slot, chooser: PoolChooser) -> None:
        self._slot = slot
        self._chooser = chooser
        self.granted = slot.granted

    def finish(self, report: SlotFinished) -> None:
        """Record the report in the chooser and forward it to the dispatcher."""
        self._chooser.down.record_result(report, anyio.current_time())
        self._slot.finish(report)
