"""Configurations and entries of replicas as operators and replicas write them, for stand-ins."""

from __future__ import annotations

from typing import Any

from bramleylead.gateway._types import Configuration
from bramleylead.gateway._types import Replica
from bramleylead.gateway._types import Route
from bramleylead.gateway._types import Service
from bramleylead.platform._decode import KINDS
from bramleylead.platform._decode import MS_PER_S

Plain = dict[str, Any]
KIND_NAMES = {kind: name for name, kind in KINDS.items()}


def write_configuration(configuration: Configuration) -> Plain:
    """Return the object that :func:`read_configuration` reads."""
    limits = configuration.limits
    return {
        "version": configuration.version,
        "routes": [_route(route) for route in configuration.routes],
        "services": [_service(service) for service in configuration.services.values()],
        "limits": {
            "max-header-bytes": limits.header_bytes,
            "max-body-bytes": limits.body_bytes,
            "header-timeout-ms": limits.header_s * MS_PER_S,
            "idle-timeout-ms": limits.idle_s * MS_PER_S,
        },
    }


def write_replica(replica: Replica) -> Plain:
    """Return the entry that :func:`read_replica` reads."""
    return {
        "service": replica.service,
        "address": replica.address,
        "zone": replica.data_centre,
        "slots": replica.slots,
        "state": "draining" if replica.leaving else "ready",
    }


def _route(route: Route) -> Plain:
    return {
        "name": route.name,
        "host": route.host,
        "path-prefix": route.prefix,
        "kind": KIND_NAMES[route.kind],
        "traffic-split": [share._asdict() for share in route.shares],
        "attempts": route.attempts,
        "timeout-ms": route.timeout_s * MS_PER_S,
        "target-latency-ms": route.objective_s * MS_PER_S,
        "priority": route.rank,
        "retained": route.keeps_turns,
        "retention-s": route.keep_turns_s,
        "resumable": route.resumable,
    }


def _service(service: Service) -> Plain:
    plain: Plain = {"name": service.name, "max-connections": service.max_connections}
    if service.engine is not None:
        plain["engine"] = {
            "slots": service.engine.slots,
            "kv-cache-tokens": service.engine.cache_tokens,
            "event-tokens": service.engine.event_tokens,
        }
    return plain
