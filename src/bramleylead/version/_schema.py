"""The schema of change tickets, which carry the complete state of what they touch."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from pydantic import Field

from bramleylead.validation import Address
from bramleylead.validation import Name
from bramleylead.validation import Strict


class Branch(Strict):
    """A branch: a school or stable.

    :param weight: its share of the engines against other branches.
    :param key_sha256: hex SHA-256 of the key its callers send.
    :param home_region: region where its programs prefer to run; empty for the entry's region.
    """

    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0
    key_sha256: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
    budget: Name
    program_kinds: tuple[Name, ...]
    home_region: str = ""


class Tool(Strict):
    """A tool that programs of a kind may call.

    :param endpoint_group: plain services with this ``serves`` name run it.
    :param repeatable: whether a call may be sent twice.
    :param price: what one call costs, in budget units.
    """

    endpoint_group: Name
    repeatable: bool
    price: Annotated[int, Field(ge=0)] = 0
    timeout_s: Annotated[float, Field(gt=0, le=3600)] = 30.0


class ProgramKind(Strict):
    """A kind of program and its limits.

    :param token_price: budget units for 1,000 tokens, prompt and output alike.
    """

    models: tuple[Name, ...]
    tools: dict[Name, Tool] = {}
    max_turns: Annotated[int, Field(ge=1, le=10_000)] = 65
    max_tokens: Annotated[int, Field(ge=1)] = 250_000
    max_output_tokens: Annotated[int, Field(ge=1)] = 2_000
    max_wall_s: Annotated[float, Field(gt=0)] = 86_400.0 * 30
    idle_end_s: Annotated[float, Field(gt=0)] = 86_400.0 * 14
    token_price: Annotated[int, Field(ge=0)] = 1


class Budget(Strict):
    """A budget in whole units; ``limit`` is the total that may ever be spent."""

    limit: Annotated[int, Field(ge=0)]


class EndpointKind(StrEnum):
    """Kinds of endpoint; each has a client registered by decorator in ``bramleylead.backends``."""

    ENGINE = "engine"
    SERVICE = "service"


class Endpoint(Strict):
    """An endpoint: a model engine or a plain service.

    :param serves: the model's name, or the endpoint group of a plain service.
    :param max_calls: most calls that it may be given at once.
    :param checks_fence: whether it refuses an old fencing number.
    :param leaving: whether it must get no new work.
    """

    kind: Annotated[EndpointKind, Field(strict=False)]
    address: Address
    serves: Name
    region: Name
    data_centre: Name
    max_calls: Annotated[int, Field(ge=1, le=4096)] = 32
    checks_fence: bool = False
    leaving: bool = False


class Ticket(Strict):
    """One numbered change: complete new states, and names to remove.

    :param number: counts from 1 without gaps.
    :param author: who submitted it.
    """

    number: Annotated[int, Field(ge=1)]
    author: Annotated[str, Field(min_length=1, max_length=200)]
    note: Annotated[str, Field(max_length=2000)] = ""
    branches: dict[Name, Branch] = {}
    program_kinds: dict[Name, ProgramKind] = {}
    budgets: dict[Name, Budget] = {}
    endpoints: dict[Name, Endpoint] = {}
    remove_branches: tuple[Name, ...] = ()
    remove_program_kinds: tuple[Name, ...] = ()
    remove_budgets: tuple[Name, ...] = ()
    remove_endpoints: tuple[Name, ...] = ()
