"""Writers of configuration and replica objects, for simulated operators and replicas."""

from __future__ import annotations

from typing import Any

from bramleylead.platform._decode import CALL_KINDS
from bramleylead.platform._decode import MS_PER_S
from bramleylead.platform._types import Configuration
from bramleylead.platform._types import Replica
from bramleylead.platform._types import Route
from bramleylead.platform._types import Service

Plain = dict[str, Any]
CALL_KIND_NAMES = {kind: name for name, kind in CALL_KINDS.items()}


def write_configuration(configuration: Configuration) -> Plain:
    """Return a configuration in the form that :func:`read_configuration` parses."""
    limits = configuration.limits
    return {
        "version": configuration.version,
        "routes": [_route_to_plain(route) for route in configuration.routes],
        "services": [_service_to_plain(service) for service in configuration.services.values()],
        "limits": {
            "max-header-bytes": limits.max_header_bytes,
            "max-body-bytes": limits.max_body_bytes,
            "header-timeout-ms": limits.header_timeout_s * MS_PER_S,
            "idle-timeout-ms": limits.idle_timeout_s * MS_PER_S,
        },
    }


def write_replica(replica: Replica) -> Plain:
    """Return a replica's entry in the form that :func:`read_replica` parses."""
    return {
        "service": replica.service,
        "address": replica.address,
        "zone": replica.data_centre,
        "slots": replica.slots,
        "version": replica.software_version,
        "state": "draining" if replica.leaving else "ready",
    }


def _route_to_plain(route: Route) -> Plain:
    return {
        "name": route.name,
        "host": route.host,
        "path-prefix": route.path_prefix,
        "kind": CALL_KIND_NAMES[route.kind],
        "traffic-split": [share._asdict() for share in route.shares],
        "attempts": route.max_attempts,
        "timeout-ms": route.timeout_s * MS_PER_S,
        "target-latency-ms": route.target_latency_s * MS_PER_S,
        "priority": route.priority,
        "retained": route.retains_turns,
        "retention-s": route.turn_retention_s,
        "resumable": route.resumable,
        "sticky": route.sticky,
    }


def _service_to_plain(service: Service) -> Plain:
    plain: Plain = {"name": service.name, "max-connections": service.max_connections}
    if service.engine is not None:
        plain["engine"] = {
            "slots": service.engine.slots,
            "kv-cache-tokens": service.engine.cache_tokens,
            "event-tokens": service.engine.tokens_per_event,
        }
    return plain
