"""Translate the operators' configuration."""

import json
import logging
import math
from collections.abc import Callable
from typing import Final, TypeVar

from gooseberrydeal._internal.exceptions import DeclarationError
from gooseberrydeal._internal.models.ids import ServiceName
from gooseberrydeal._internal.models.routing.adapter_key import AdapterKey
from gooseberrydeal._internal.models.routing.route import (
    RequestKind,
    Route,
    WeightedService,
)
from gooseberrydeal._internal.models.routing.routing_configuration import (
    BaseModel,
    CallerLimits,
    EngineCapacity,
    RoutingConfiguration,
    ServiceConfiguration,
)
from gooseberrydeal._internal.utils.json_value import JsonObject

logger = logging.getLogger(__name__)

_Item = TypeVar("_Item")

# The platform's callers give up a stream after the longest of: so many seconds without
# an event, so many times the target latency, and so many times the longest pause.
_PATIENCE_SECONDS: Final = 2.0
_PATIENCE_TARGETS: Final = 4.0
_PATIENCE_PAUSES: Final = 8.0

_KINDS: Final = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.ONCE,
    "streaming": RequestKind.STREAMING,
}


def decode_configuration(value: bytes) -> RoutingConfiguration:
    """Return a configuration, or raise :class:`DeclarationError`.

    A route or service that can't be read costs only itself.
    """
    try:
        data = json.loads(value)
        version = int(data["version"])
        routes = _each(data.get("routes", ()), _route, "route")
        services = _each(data.get("services", ()), _service, "service")
        limits = _limits(data.get("limits") or {})
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise DeclarationError([f"the configuration is unreadable: {error}"]) from error
    return RoutingConfiguration(
        version, tuple(routes), {item.name: item for item in services}, limits
    )


def decode_adapter_version(value: bytes) -> tuple[AdapterKey, int]:
    """Return an adapter and its newest version; raise :class:`DeclarationError`."""
    try:
        data = json.loads(value)
        adapter = data.get("adapter") or ""
        return AdapterKey(str(data["model"]), str(adapter)), int(data["version"])
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise DeclarationError([f"the version is unreadable: {error}"]) from error


def _each(
    items: list[JsonObject], decode: Callable[[JsonObject], _Item], what: str
) -> list[_Item]:
    found = []
    for item in items:
        try:
            found.append(decode(item))
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            logger.warning("a %s of the configuration is unreadable: %r", what, error)
    return found


def _route(data: JsonObject) -> Route:
    weighted = [
        WeightedService(ServiceName(item["service"]), float(item["weight"]))
        for item in data.get("weightedServices") or ()
    ]
    if not weighted:
        weighted = [WeightedService(ServiceName(data["service"]), 1.0)]
    kind = _KINDS[data["kind"]]
    target_latency = float(data["targetLatencyMs"]) / 1000
    longest_pause = float(data.get("gapAimMs") or 1000) / 1000
    return Route(
        name=str(data["name"]),
        host=str(data["host"]).lower(),
        path_prefix=str(data["pathPrefix"]),
        kind=kind,
        timeout=float(data["timeoutMs"]) / 1000,
        target_latency=target_latency,
        services=tuple(weighted),
        # Counts the servers that may run one request, not the sends.
        max_servers=int(data.get("maxAttempts") or 1),
        rank=int(data.get("priority") or 0),
        is_resumable=bool(data.get("resumable")),
        longest_pause=longest_pause,
        caller_idle_timeout=_caller_patience(kind, target_latency, longest_pause),
    )


def _caller_patience(
    kind: RequestKind, target_latency: float, longest_pause: float
) -> float:
    if kind is not RequestKind.STREAMING:
        return math.inf
    return max(
        _PATIENCE_SECONDS,
        _PATIENCE_TARGETS * target_latency,
        _PATIENCE_PAUSES * longest_pause,
    )


def _service(data: JsonObject) -> ServiceConfiguration:
    engine = data.get("engine")
    return ServiceConfiguration(
        name=ServiceName(data["name"]),
        max_connections=int(data.get("maxConnections") or 100),
        engine=None if not engine else _engine(engine),
    )


def _engine(data: JsonObject) -> EngineCapacity:
    models = {
        str(item["name"]): BaseModel(
            str(item["name"]),
            float(item["weightsMb"]),
            float(item.get("loadS") or 0.0),
        )
        for item in data.get("models") or ()
    }
    return EngineCapacity(
        models=models,
        adapter_slots=int(data.get("adapterSlots") or 0),
        token_capacity=int(data.get("kvCapacity") or 0),
        # Tokens in one event of a stream.
        event_tokens=int(data.get("stride") or 1),
    )


def _limits(data: JsonObject) -> CallerLimits:
    usual = CallerLimits()
    return CallerLimits(
        header_bytes=int(data.get("maxHeaderBytes") or usual.header_bytes),
        body_bytes=int(data.get("maxBodyBytes") or usual.body_bytes),
        header_timeout=float(data.get("headerTimeoutMs") or 3000) / 1000,
        idle_timeout=float(data.get("idleTimeoutMs") or 15000) / 1000,
    )
