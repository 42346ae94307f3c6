"""Parsers of the platform's objects that contain the configuration and the replicas."""

from __future__ import annotations

import ipaddress
import math
from typing import Any

from bramleylead.customers import Customer
from bramleylead.customers import CustomerKeys
from bramleylead.customers import Quota
from bramleylead.customers import index_customers
from bramleylead.platform._types import CallKind
from bramleylead.platform._types import Configuration
from bramleylead.platform._types import EngineSpec
from bramleylead.platform._types import Limits
from bramleylead.platform._types import Replica
from bramleylead.platform._types import Route
from bramleylead.platform._types import Service
from bramleylead.platform._types import Share

MS_PER_S = 1000.0
CALL_KINDS = {"safe": CallKind.SAFE, "unsafe": CallKind.UNSAFE, "streaming": CallKind.STREAM}
REPLICA_STATES = ("ready", "draining")
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
MAX_SLOTS = 1_000_000
MAX_SHOWN_CHARS = 60
MAX_REASON_CHARS = 400


class UnreadableError(ValueError):
    """The value of a platform object is invalid; the text is short, whatever the value is."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason[:MAX_REASON_CHARS])


def read_configuration(plain: Any) -> Configuration:
    """Parse a configuration object.

    :raises UnreadableError: if it is invalid.
    """
    if plain is None:
        raise UnreadableError("configuration: no value that can be read")
    try:
        limits = plain["limits"]
        services = [_parse_service(item) for item in plain["services"]]
        return Configuration(
            version=int(plain["version"]),
            routes=tuple(_parse_route(item) for item in plain["routes"]),
            services={service.name: service for service in services},
            limits=Limits(
                max_header_bytes=int(limits["max-header-bytes"]),
                max_body_bytes=int(limits["max-body-bytes"]),
                header_timeout_s=limits["header-timeout-ms"] / MS_PER_S,
                idle_timeout_s=limits["idle-timeout-ms"] / MS_PER_S,
            ),
            customers=index_customers(map(_parse_customer, plain.get("tenants") or ())),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise UnreadableError(f"configuration: {type(error).__name__}: {error}") from error


def read_replica(name: str, plain: Any) -> Replica:
    """Parse the entry of a replica.

    :raises UnreadableError: if it does not describe a usable replica.
    """
    if plain is None:
        raise UnreadableError(f"replica {name}: no value that can be read")
    try:
        state = plain["state"]
        service, address, data_centre = plain["service"], plain["address"], plain["zone"]
        if state not in REPLICA_STATES:
            raise UnreadableError(f"replica {name}: state {state!r}")
        _check_address(name, address)
        if not isinstance(service, str) or not isinstance(data_centre, str):
            raise UnreadableError(f"replica {name}: service {service!r}, zone {data_centre!r}")
        slots, version = plain.get("slots", 0), plain["version"]
        if not isinstance(version, str):
            raise UnreadableError(f"replica {name}: version {version!r}")
        return Replica(
            name=name,
            service=service,
            address=address,
            data_centre=data_centre,
            leaving=state == "draining",
            slots=slots if type(slots) is int and 0 <= slots <= MAX_SLOTS else 0,
            software_version=version,
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise UnreadableError(f"replica {name}: {type(error).__name__}: {error}") from error


def _check_address(name: str, address: str) -> None:
    """Check that a connection to an address can be attempted: an IP address and a port.

    :raises UnreadableError: if it can't.
    """
    host, _, port = address.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if not is_number or not 0 < int(port) <= MAX_PORT:
        shown = address[:MAX_SHOWN_CHARS]
        raise UnreadableError(f"replica {name}: address {shown!r}: no port from 1 to {MAX_PORT}")
    try:
        ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
    except ValueError as error:
        raise UnreadableError(f"replica {name}: address: {error}") from error


def _parse_route(plain: dict[str, Any]) -> Route:
    split = plain.get("traffic-split")
    if split:
        shares = tuple(Share(item["service"], float(item["weight"])) for item in split)
    else:
        shares = (Share(plain["service"], 1.0),)
    return Route(
        name=plain["name"],
        host=plain["host"],
        path_prefix=plain["path-prefix"],
        kind=CALL_KINDS[plain["kind"]],
        shares=shares,
        max_attempts=int(plain.get("attempts", 1)),
        timeout_s=plain["timeout-ms"] / MS_PER_S,
        target_latency_s=plain.get("target-latency-ms", plain["timeout-ms"]) / MS_PER_S,
        priority=int(plain.get("priority", 0)),
        retains_turns=bool(plain.get("retained", False)),
        turn_retention_s=float(plain.get("retention-s", 0.0)),
        resumable=bool(plain.get("resumable", False)),
        sticky=bool(plain.get("sticky", False)),
        public=bool(plain.get("public", False)),
    )


def _parse_service(plain: dict[str, Any]) -> Service:
    engine = plain.get("engine")
    spec = None
    if engine:
        spec = EngineSpec(
            slots=int(engine["slots"]),
            cache_tokens=int(engine["kv-cache-tokens"]),
            tokens_per_event=int(engine.get("event-tokens", 1)),
        )
    return Service(plain["name"], int(plain["max-connections"]), spec)


def _parse_customer(plain: dict[str, Any]) -> CustomerKeys:
    """Parse a customer; no error shows a key.

    :raises ValueError: if a name, key, priority or quota makes no sense.
    """
    name, keys = plain["name"], plain.get("api-keys", [])
    if not isinstance(name, str):
        raise ValueError(f"customer: name must be text, not {type(name).__name__}")
    if not isinstance(keys, list) or not all(isinstance(key, str) for key in keys):
        raise ValueError(f"customer {name}: api-keys must be a list of texts")
    priority = plain.get("priority")
    if priority is not None and (type(priority) is not int or priority < 0):
        raise ValueError(f"customer {name}: priority must be a whole number from 0")
    return CustomerKeys(Customer(name, priority, _parse_quota(name, plain)), tuple(keys))


def _parse_quota(customer: str, plain: dict[str, Any]) -> Quota | None:
    """Parse a customer's quota; without a rate there is no limit."""
    rate, burst = plain.get("rate-per-s") or 0, plain.get("burst") or 0
    for field, number in (("rate-per-s", rate), ("burst", burst)):
        is_number = type(number) in (int, float) and math.isfinite(number)
        if not is_number or number < 0:
            raise ValueError(f"customer {customer}: {field} must be a finite number from 0")
    return Quota(float(rate), float(burst)) if rate else None
