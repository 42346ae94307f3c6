"""Shared set-up for the scheduling tests: endpoints, requests, and dispatchers without engines."""

from __future__ import annotations

from typing import Any

from aioprometheus import Registry

from bramleylead.node_settings import SchedulingSettings
from bramleylead.promises import Promises
from bramleylead.scheduling import Dispatcher
from bramleylead.scheduling import SlotFinished
from bramleylead.scheduling import SlotRequest
from bramleylead.version import Endpoint
from bramleylead.version import EndpointKind

MODEL = "assistant"


def endpoint(number: int = 1, **changes: Any) -> Endpoint:
    fields: dict[str, Any] = {
        "kind": EndpointKind.ENGINE,
        "address": f"10.1.0.{number}:8000",
        "serves": MODEL,
        "region": "r1",
        "data_centre": "d1",
        "max_calls": 2,
    }
    return Endpoint(**(fields | changes))


def endpoints(count: int, **changes: Any) -> dict[str, Endpoint]:
    return {f"e{number}": endpoint(number, **changes) for number in range(1, count + 1)}


def slot_request(program: str = "p1", number: int = 1, **changes: Any) -> SlotRequest:
    fields: dict[str, Any] = {
        "call": f"{program}/{number}",
        "program": program,
        "branch": "b1",
        "serves": MODEL,
        "region": "r1",
        "data_centre": "d1",
        "home_region": "r1",
        "weight": 1.0,
        "prompt_tokens": 1000,
        "expected_output_tokens": 100,
        "attained": 0.0,
        "cached": {},
        "waited_s": 0.0,
        "deadline_s": 30.0,
    }
    return SlotRequest(**(fields | changes))


def slot_finished(endpoint_name: str, **changes: Any) -> SlotFinished:
    fields: dict[str, Any] = {
        "endpoint": endpoint_name,
        "ok": True,
        "first_token_s": 0.1,
        "duration_s": 1.0,
        "prompt_tokens": 1000,
        "cached_tokens": 0,
        "output_tokens": 100,
    }
    return SlotFinished(**(fields | changes))


def dispatcher(
    count: int = 2,
    *,
    policy: str = "bramleylead",
    parameters: dict[str, Any] | None = None,
    **changes: Any,
) -> Dispatcher:
    settings = SchedulingSettings(policy=policy, parameters=parameters or {})
    created = Dispatcher("pool", settings, promises=Promises(Registry()))
    created.set_endpoints(endpoints(count, **changes))
    return created
