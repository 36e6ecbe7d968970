"""Decodes the platform's configuration and server entries into egretshed's records.

Rows may come from other writers, so a missing field or one of a wrong type raises
`MalformedRecord`, and callers do not use any part of such a row.
"""

import ipaddress
from typing import Any

import msgspec

from egretshed.errors import EgretshedError
from egretshed.servers.records import (
    ListedServer,
    ServerAddress,
    ServerPhase,
)
from egretshed.serving.schema import (
    CallerLimits,
    Customer,
    EngineLimits,
    Route,
    RouteType,
    Service,
    ServingConfiguration,
    StageLimits,
    StageSpec,
    WeightedService,
)
from egretshed.untrusted_json import decode_untrusted

BYTES_PER_MB = 1_000_000
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
REPEAT_RULES = {
    "idempotent": RouteType.IDEMPOTENT,
    "non_idempotent": RouteType.NON_IDEMPOTENT,
    "streaming": RouteType.STREAM,
}
PHASES = {"ready": ServerPhase.READY, "draining": ServerPhase.LEAVING}


class MalformedRecord(EgretshedError):
    """A row of the platform's store does not match the schema of its table."""

    code = "malformed_record"
    http_status = 502


class _StageWire(msgspec.Struct):
    service: str
    byte_count: int = 0  # approximate size of one result, not of the request body
    after: list[int] = []


class _SplitWire(msgspec.Struct):
    service: str
    weight: float


class _RouteWire(msgspec.Struct):
    name: str
    hostname: str
    path_prefix: str
    type: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    priority: int = 0
    service: str | None = None
    split: list[_SplitWire] = []
    max_attempts: int = 1
    allowed_regions: list[str] | None = None
    public: bool = False
    resumable: bool = False
    target_itl_ms: float = 0.0  # target for the longest gap between events
    stages: list[_StageWire] = []


class _EngineWire(msgspec.Struct):
    slots: int
    kv_capacity: int  # in tokens


class _SegmentsWire(msgspec.Struct):
    slots: int
    batch: int
    call_ms: float
    item_ms: float
    headroom_mb: float  # memory for results on their server, no safety margin
    handle_ttl_s: float


class _ServiceWire(msgspec.Struct):
    name: str
    max_conns: int = 0
    cold_per_s: float = 0.0
    engine: _EngineWire | None = None
    segments: _SegmentsWire | None = None


class _LimitsWire(msgspec.Struct, frozen=True):
    max_header_bytes: int = 65536
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 10000.0
    idle_timeout_ms: float = 60000.0


class _TenantWire(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _ConfigurationWire(msgspec.Struct):
    version: int
    routes: list[_RouteWire]
    services: list[_ServiceWire] = []
    limits: _LimitsWire = _LimitsWire()
    tenants: list[_TenantWire] = []


class _ServerWire(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    version: str  # of the server's software
    slots: int
    sequence: int  # number and order of the entry's writes, no row version
    cold_remaining_ms: float = 0.0
    born: int = 0  # start of the server, Unix time in ms


def decode_configuration(value: bytes) -> ServingConfiguration:
    """Return the decoded configuration; raise `MalformedRecord`.

    A field that is null has no content: it is read as an empty list or as missing, and
    the rest of the configuration takes effect. Keys are needed as soon as the field of
    the customers is there::

        {"version": 1, "routes": [...], "tenants": null}  # admits no key
    """
    raw = _decode(value, dict[str, Any])
    fields = _without_nulls(raw)
    if "routes" in raw:
        fields.setdefault("routes", [])
    wire = _convert(fields, _ConfigurationWire)
    customers = {
        key: Customer(tenant.name, tenant.priority)
        for tenant in wire.tenants
        for key in tenant.api_keys
    }
    limits = wire.limits
    return ServingConfiguration(
        version=wire.version,
        routes=tuple(_convert_route(route) for route in wire.routes),
        services={service.name: _convert_service(service) for service in wire.services},
        customers_by_key=customers,
        limits=CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
        # An empty list admits nobody; only without the field are no keys needed.
        requires_key="tenants" in raw,
        customer_names=tuple(tenant.name for tenant in wire.tenants),
    )


def decode_server(server_id: str, value: bytes) -> ListedServer:
    """Return the decoded entry of a backend server; raise `MalformedRecord`."""
    wire = _decode(value, _ServerWire)
    if wire.state not in PHASES:
        raise MalformedRecord(f"server state {wire.state!r} is unknown")
    return ListedServer(
        server_id=server_id,
        service=wire.service,
        address=decode_address(wire.address),
        failure_domain=wire.zone,
        phase=PHASES[wire.state],
        slots=wire.slots,
        cold_s=max(0.0, wire.cold_remaining_ms / 1000),
        started_ms=wire.born,
        version=wire.version,
        sequence=wire.sequence,
    )


def decode_address(text: str) -> ServerAddress:
    """Parse an ``IPV4:PORT`` address; raise `MalformedRecord`.

    Any other address would fail each request that is sent to it, or block the process
    while a name is looked up.
    """
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdecimal() and len(port) <= MAX_PORT_DIGITS
    if not is_number or not 0 < int(port) <= MAX_PORT:
        raise MalformedRecord(f"address {text!r} has no port from 1 to {MAX_PORT}")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise MalformedRecord(f"address {text!r}: {error}") from error
    return ServerAddress(host, int(port))


def _decode(value: bytes, schema: type) -> Any:
    try:
        return decode_untrusted(value, schema)
    except msgspec.DecodeError as error:
        raise MalformedRecord(str(error)) from error


def _convert(raw: dict[str, Any], schema: type) -> Any:
    try:
        return msgspec.convert(raw, schema)
    except msgspec.ValidationError as error:
        raise MalformedRecord(str(error)) from error


def _without_nulls(raw: Any) -> Any:
    """Return decoded JSON without the fields of objects that are null."""
    if isinstance(raw, dict):
        return {k: _without_nulls(v) for k, v in raw.items() if v is not None}
    if isinstance(raw, list):
        return [_without_nulls(item) for item in raw]
    return raw


def _convert_route(wire: _RouteWire) -> Route:
    rule = REPEAT_RULES.get(wire.type)
    if rule is None:
        raise MalformedRecord(f"route type {wire.type!r} is unknown")
    split = [WeightedService(part.service, part.weight) for part in wire.split]
    if wire.service is not None:
        split = [WeightedService(wire.service, 1.0)]
    split = [part for part in split if part.weight > 0]
    return Route(
        name=wire.name,
        host=wire.hostname.lower(),
        path_prefix=wire.path_prefix,
        route_type=rule,
        timeout_s=wire.timeout_ms / 1000,
        latency_target_s=wire.target_latency_ms / 1000,
        priority=wire.priority,
        services=tuple(split),
        max_attempts=max(1, wire.max_attempts),
        regions=tuple(wire.allowed_regions or ()),
        is_public=wire.public,
        is_resumable=wire.resumable,
        event_interval_target_s=wire.target_itl_ms / 1000,
        stages=tuple(
            StageSpec(stage.service, tuple(stage.after), stage.byte_count)
            for stage in wire.stages
        ),
    )


def _convert_service(wire: _ServiceWire) -> Service:
    engine = wire.engine and EngineLimits(wire.engine.slots, wire.engine.kv_capacity)
    segments = wire.segments
    stage = segments and StageLimits(
        slots=segments.slots,
        batch_items=max(1, segments.batch),
        call_s=segments.call_ms / 1000,
        item_s=segments.item_ms / 1000,
        result_capacity_bytes=int(segments.headroom_mb * BYTES_PER_MB),
        result_ttl_s=segments.handle_ttl_s,
    )
    return Service(
        wire.name, wire.max_conns, wire.cold_per_s, engine or None, stage or None
    )
