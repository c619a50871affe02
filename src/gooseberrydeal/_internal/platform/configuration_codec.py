"""Decode the routing configuration and adapter versions that operators publish."""

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
from gooseberrydeal._internal.platform.account_codec import decode_accounts
from gooseberrydeal._internal.utils.json_value import (
    DECODE_ERRORS,
    JsonObject,
    parse_integer,
)
from gooseberrydeal._internal.utils.number_range import integer_in, number_in

logger = logging.getLogger(__name__)

_Item = TypeVar("_Item")

# The platform's callers abandon a stream that delivers no event for the longest of
# these: a fixed time, a multiple of the route's target latency, and a multiple of the
# longest pause between events that the route allows.
_MIN_STALL_TIMEOUT_SECONDS: Final = 2.0
_STALL_TIMEOUT_TARGET_LATENCY_FACTOR: Final = 4.0
_STALL_TIMEOUT_LONGEST_PAUSE_FACTOR: Final = 8.0

# Numbers beyond these are mistakes: decisions could not be computed with them.
_MAX_NUMBER: Final = 1e12
_MAX_INTEGER: Final = 2**53

_REQUEST_KINDS: Final = {
    "safe": RequestKind.IDEMPOTENT,
    "unsafe": RequestKind.ONCE,
    "streaming": RequestKind.STREAMING,
}


def decode_configuration(value: bytes) -> RoutingConfiguration:
    """Return the routing configuration encoded in a JSON document.

    A route, service or account that is invalid is logged and left out. Raises
    :class:`DeclarationError` if the document itself is invalid.
    """
    try:
        data = json.loads(value, parse_int=parse_integer)
        version = _integer(data["version"])
        routes = _decode_each(data.get("routes", ()), _decode_route, "route")
        services = _decode_each(data.get("services", ()), _decode_service, "service")
        limits = _decode_limits(data.get("limits") or {})
        accounts = decode_accounts(data)
    except UnicodeDecodeError as error:
        # Its representation holds the whole document, and so the keys of accounts.
        raise DeclarationError([f"invalid routing configuration: {error}"]) from None
    except DECODE_ERRORS as error:
        raise DeclarationError([f"invalid routing configuration: {error!r}"]) from error
    return RoutingConfiguration(
        version, tuple(routes), {item.name: item for item in services}, limits, accounts
    )


def decode_adapter_version(value: bytes) -> tuple[AdapterKey, int]:
    """Return the adapter and the newest version that a JSON document declares.

    An empty adapter name stands for the base model. Raises :class:`DeclarationError`
    if the document is invalid.
    """
    try:
        data = json.loads(value)
        adapter = data.get("adapter") or ""
        return AdapterKey(str(data["model"]), str(adapter)), _integer(data["version"])
    except DECODE_ERRORS as error:
        raise DeclarationError([f"invalid adapter version: {error!r}"]) from error


def _decode_each(
    items: list[JsonObject], decode: Callable[[JsonObject], _Item], item_type: str
) -> list[_Item]:
    decoded = []
    for item in items:
        try:
            decoded.append(decode(item))
        except DECODE_ERRORS as error:
            logger.warning(
                "ignoring an invalid %s in the configuration: %r", item_type, error
            )
    return decoded


def _decode_route(data: JsonObject) -> Route:
    weighted = [
        WeightedService(_service_name(item["service"]), _number(item["weight"]))
        for item in data.get("weightedServices") or ()
    ]
    if not weighted:
        weighted = [WeightedService(_service_name(data["service"]), 1.0)]
    if not any(item.weight for item in weighted):
        raise ValueError("none of its services has a weight")
    kind = _REQUEST_KINDS[data["kind"]]
    target_latency = _seconds(data["targetLatencyMs"])
    longest_pause = _seconds(data.get("gapAimMs") or 1000)
    return Route(
        name=str(data["name"]),
        host=str(data["host"]).lower(),
        path_prefix=str(data["pathPrefix"]),
        kind=kind,
        timeout=_seconds(data["timeoutMs"]),
        target_latency=target_latency,
        services=tuple(weighted),
        # Despite its name, ``maxAttempts`` limits how many servers may run a request,
        # not how often it is sent: a server may refuse it without running it.
        max_servers=_integer(data.get("maxAttempts") or 1),
        rank=_integer(data.get("priority") or 0),
        is_resumable=bool(data.get("resumable")),
        longest_pause=longest_pause,
        caller_idle_timeout=_stall_timeout(kind, target_latency, longest_pause),
        is_open=data.get("anonymous") is True,
    )


def _stall_timeout(
    kind: RequestKind, target_latency: float, longest_pause: float
) -> float:
    if kind is not RequestKind.STREAMING:
        return math.inf
    return max(
        _MIN_STALL_TIMEOUT_SECONDS,
        _STALL_TIMEOUT_TARGET_LATENCY_FACTOR * target_latency,
        _STALL_TIMEOUT_LONGEST_PAUSE_FACTOR * longest_pause,
    )


def _decode_service(data: JsonObject) -> ServiceConfiguration:
    engine = data.get("engine")
    return ServiceConfiguration(
        name=_service_name(data["name"]),
        max_connections=_integer(data.get("maxConnections") or 100),
        engine=None if not engine else _decode_engine(engine),
    )


def _decode_engine(data: JsonObject) -> EngineCapacity:
    models = {
        str(item["name"]): BaseModel(
            str(item["name"]),
            _number(item["weightsMb"]),
            _number(item.get("loadS") or 0.0),
        )
        for item in data.get("models") or ()
    }
    return EngineCapacity(
        models=models,
        adapter_slots=_integer(data.get("adapterSlots") or 0),
        token_capacity=_integer(data.get("kvCapacity") or 0),
        # The stride is the number of tokens in each event of a stream.
        event_tokens=_integer(data.get("stride") or 1),
    )


def _decode_limits(data: JsonObject) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        header_bytes=_integer(data.get("maxHeaderBytes") or defaults.header_bytes),
        body_bytes=_integer(data.get("maxBodyBytes") or defaults.body_bytes),
        header_timeout=_seconds(data.get("headerTimeoutMs") or 3000),
        idle_timeout=_seconds(data.get("idleTimeoutMs") or 15000),
    )


def _service_name(value: object) -> ServiceName:
    if not isinstance(value, str):
        raise TypeError(f"{type(value).__name__} is not the name of a service")
    return ServiceName(value)


def _integer(value: float | str) -> int:
    return integer_in(int(value), 0, _MAX_INTEGER)


def _number(value: float | str) -> float:
    return number_in(float(value), 0.0, _MAX_NUMBER)


def _seconds(milliseconds: float | str) -> float:
    return _number(milliseconds) / 1000
