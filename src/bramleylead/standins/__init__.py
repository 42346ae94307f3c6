"""Small stand-ins at the product's interfaces, shared by tests, demo and benches."""

from __future__ import annotations

from bramleylead.standins._answer import Answer
from bramleylead.standins._answer import answer_to
from bramleylead.standins._answer import count_prompt
from bramleylead.standins._answer import count_tokens
from bramleylead.standins._endpoints import FakeBackends
from bramleylead.standins._endpoints import FakeEndpoints
from bramleylead.standins._engine import FakeEngine
from bramleylead.standins._engine_ledger import EngineLedger
from bramleylead.standins._engine_server import serve_engine
from bramleylead.standins._engine_settings import EngineModelSettings
from bramleylead.standins._faulty_store import FaultyStore
from bramleylead.standins._faulty_store import StoreFaults
from bramleylead.standins._network import FakeNetwork
from bramleylead.standins._objects_server import serve_objects
from bramleylead.standins._service import FakeService
from bramleylead.standins._service import ServiceLedger
from bramleylead.standins._service import ToolModel
from bramleylead.standins._tool_server import serve_tool
from bramleylead.standins._virtual import run_virtual
from bramleylead.standins._virtual import virtual_random
from bramleylead.standins._weights import FakeWeightStore

__all__ = [
    "Answer",
    "EngineLedger",
    "EngineModelSettings",
    "FakeBackends",
    "FakeEndpoints",
    "FakeEngine",
    "FakeNetwork",
    "FakeService",
    "FakeWeightStore",
    "FaultyStore",
    "ServiceLedger",
    "StoreFaults",
    "ToolModel",
    "answer_to",
    "count_prompt",
    "count_tokens",
    "run_virtual",
    "serve_engine",
    "serve_objects",
    "serve_tool",
    "virtual_random",
]
