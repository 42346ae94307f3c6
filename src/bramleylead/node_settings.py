"""A node's settings, read from JSON and validated whole at start."""

from __future__ import annotations

from typing import Annotated
from typing import Any

from pydantic import Field
from pydantic import ValidationInfo
from pydantic import field_validator

from bramleylead.validation import Address
from bramleylead.validation import Name
from bramleylead.validation import Strict


class StoreSettings(Strict):
    """Where the platform's object API is.

    :param kind: ``memory`` or ``folder`` (embedded, one machine), or ``http``.
    :param location: folder, or ``http://ip:port``; unused for ``memory``.
    """

    kind: Annotated[str, Field(pattern="^(memory|folder|http)$")] = "memory"
    location: str = ""
    call_timeout_s: Annotated[float, Field(gt=0)] = 2.0
    calls_per_s: Annotated[float, Field(gt=0)] = 50.0


class MembershipSettings(Strict):
    """How peers find and probe each other. Times in seconds."""

    probe_interval_s: Annotated[float, Field(gt=0)] = 1.0
    probe_timeout_s: Annotated[float, Field(gt=0)] = 0.5
    indirect_probes: Annotated[int, Field(ge=0)] = 2
    suspect_s: Annotated[float, Field(gt=0)] = 2.0
    vm_list_interval_s: Annotated[float, Field(gt=0)] = 15.0


class PartitionSettings(Strict):
    """Program partitions and their journals. ``count`` is fixed for a deployment's life.

    A node that meets no other for ``alone_after_s`` serves without a second copy.
    """

    count: Annotated[int, Field(ge=1, le=65536)] = 48
    heartbeat_s: Annotated[float, Field(gt=0)] = 0.5
    takeover_after_s: Annotated[float, Field(gt=0)] = 2.0
    append_timeout_s: Annotated[float, Field(gt=0)] = 1.0
    act_lease_s: Annotated[float, Field(gt=0, validate_default=True)] = 2.0
    flush_interval_s: Annotated[float, Field(gt=0)] = 5.0
    moves_per_s: Annotated[float, Field(gt=0)] = 8.0
    alone_after_s: Annotated[float, Field(ge=0)] = 15.0

    @field_validator("act_lease_s")
    @classmethod
    def _check_lease(cls, act_lease_s: float, info: ValidationInfo) -> float:
        """Refuse a takeover that could come while the former owner may still act."""
        takeover_after_s = info.data.get("takeover_after_s", act_lease_s)
        if act_lease_s > takeover_after_s:
            raise ValueError(f"must be at most partitions.takeover_after_s, {takeover_after_s:g}")
        return act_lease_s


class TicketSettings(Strict):
    """How tickets spread, and how stale a node may be."""

    current_within_s: Annotated[float, Field(gt=0)] = 3.0
    watch_s: Annotated[float, Field(gt=0)] = 1.0
    watchers_per_data_centre: Annotated[int, Field(ge=1)] = 2
    fanout: Annotated[int, Field(ge=1)] = 4


class SchedulingSettings(Strict):
    """Which policy places calls, and its parameters by name (checked by the policy)."""

    policy: Name = "bramleylead"
    parameters: dict[str, Any] = {}


class RequestSettings(Strict):
    """Limits on callers' requests."""

    max_body_bytes: Annotated[int, Field(gt=0)] = 4_000_000
    max_running: Annotated[int, Field(ge=1)] = 2_000
    body_timeout_s: Annotated[float, Field(gt=0)] = 10.0
    default_deadline_s: Annotated[float, Field(gt=0)] = 120.0
    stream_progress_s: Annotated[float, Field(gt=0)] = 10.0
    coalesce_s: Annotated[float, Field(ge=0)] = 0.01
    attempts: Annotated[int, Field(ge=1, le=10)] = 3


class NodeSettings(Strict):
    """Everything one node is told at start."""

    node: Name
    region: Name
    data_centre: Name
    peer_address: Address
    http_address: Address
    cluster_key: Annotated[str, Field(min_length=16)]
    operator_key_sha256: Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
    store: StoreSettings = StoreSettings()
    membership: MembershipSettings = MembershipSettings()
    partitions: PartitionSettings = PartitionSettings()
    tickets: TicketSettings = TicketSettings()
    scheduling: SchedulingSettings = SchedulingSettings()
    requests: RequestSettings = RequestSettings()
    stop_grace_s: Annotated[float, Field(gt=0)] = 30.0
    log_format: Annotated[str, Field(pattern="^(json|console)$")] = "json"
