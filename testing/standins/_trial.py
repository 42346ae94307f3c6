"""A small trial: one node, one engine and one service on the fake network."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import anyio
from result import Ok

from bramleylead.backends import EngineChunk
from bramleylead.backends import GenerateCall
from bramleylead.backends import Message
from bramleylead.backends import ServiceCall
from bramleylead.standins import EngineModelSettings
from bramleylead.standins import FakeEndpoints
from bramleylead.standins import FakeEngine
from bramleylead.standins import FakeNetwork
from bramleylead.standins import FakeService
from bramleylead.standins import ToolModel
from bramleylead.standins import run_virtual
from bramleylead.version import Endpoint
from bramleylead.version import EndpointKind

NODE = "10.0.0.1"
OTHER_NODE = "10.0.0.2"
ENGINE = "10.0.1.1:9000"
SERVICE = "10.0.1.2:9000"
EXACT = EngineModelSettings(event_loss=0.0, event_delay_s=0.0, report_lag_s=0.0)


class Trial(NamedTuple):
    network: FakeNetwork
    endpoints: FakeEndpoints
    engine: FakeEngine
    service: FakeService

    def engine_from(self, host: str = NODE) -> Any:
        return self.endpoints.backends(host).engine("e", endpoint(EndpointKind.ENGINE, ENGINE))

    def service_from(self, host: str = NODE) -> Any:
        return self.endpoints.backends(host).service("s", endpoint(EndpointKind.SERVICE, SERVICE))


def endpoint(kind: EndpointKind, address: str) -> Endpoint:
    return Endpoint(kind=kind, address=address, serves="x", region="r1", data_centre="d1")


def run_trial(
    body: Callable[[Trial], Awaitable[Any]],
    *,
    seed: int = 1,
    settings: EngineModelSettings = EXACT,
    tool: ToolModel | None = None,
    checks_fence: bool = False,
) -> Any:
    async def main() -> Any:
        network = FakeNetwork(
            {
                NODE: ("r1", "d1"),
                OTHER_NODE: ("r2", "d2"),
                "10.0.1.1": ("r1", "d1"),
                "10.0.1.2": ("r1", "d1"),
            }
        )
        endpoints = FakeEndpoints(network, seed=seed)
        engine = endpoints.add_engine("engine", ENGINE, settings)
        service = endpoints.add_service(
            "service", SERVICE, {"issue": tool or ToolModel()}, checks_fence=checks_fence
        )
        async with anyio.create_task_group() as tasks:
            await tasks.start(endpoints.run)
            outcome = await body(Trial(network, endpoints, engine, service))
            tasks.cancel_scope.cancel()
        return outcome

    return run_virtual(main, seed=seed)


def ask(call: str = "p/1/1", *contents: str, max_tokens: int = 2000) -> GenerateCall:
    messages = tuple(Message("user", content) for content in contents or ("hello [output=100]",))
    program = call.split("/", maxsplit=1)[0]
    return GenerateCall(call, program, "assistant", messages, max_tokens, 0)


def issue(call: str = "p/1", fence: int = 1) -> ServiceCall:
    return ServiceCall(call, "issue", {"candidate": "c"}, fence)


async def collect(engine: Any, call: GenerateCall) -> tuple[str, list[EngineChunk], Any]:
    """Return the text, the chunks, and the error that ended the stream, if one did."""
    chunks: list[EngineChunk] = []
    async with engine.generate(call) as stream:
        async for item in stream:
            if not isinstance(item, Ok):
                return "".join(chunk.text for chunk in chunks), chunks, item.err_value
            chunks.append(item.ok_value)
    return "".join(chunk.text for chunk in chunks), chunks, None
