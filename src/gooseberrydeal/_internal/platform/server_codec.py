"""Translate what backend servers say of themselves."""

import json
from typing import Final

from gooseberrydeal._internal.exceptions import DeclarationError
from gooseberrydeal._internal.models.ids import DomainName, ServerId, ServiceName
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.engine_report import EngineReport
from gooseberrydeal._internal.models.routing.server_entry import (
    HeldModels,
    ServerEntry,
    ServerState,
)
from gooseberrydeal._internal.utils.ip_address import split_ip_and_port
from gooseberrydeal._internal.utils.json_value import JsonObject

_STATES: Final = {"ready": ServerState.READY, "draining": ServerState.DRAINING}
_FAILURES: Final = (ValueError, KeyError, TypeError, AttributeError)


def decode_server(server: str, value: bytes) -> ServerEntry:
    """Return a registered server, or raise :class:`DeclarationError`."""
    try:
        data = json.loads(value)
        address, domain, service = data["address"], data["zone"], data["service"]
        if not all(isinstance(item, str) for item in (address, domain, service)):
            raise TypeError("address, zone and service are not all texts")
        split_ip_and_port(address)
        return ServerEntry(
            id=ServerId(server),
            service=ServiceName(service),
            address=address,
            domain=DomainName(domain),
            slots=_whole(data["slots"]),
            state=_STATES[data["state"]],
            started_at=_whole(data.get("born", 0)),
            order_count=_whole(data.get("sequence", 0)),
            held=_held(data["models"]) if "models" in data else None,
        )
    except _FAILURES as error:
        raise DeclarationError(
            [f"the entry of {server} is unreadable: {error!r}"]
        ) from (error)


def decode_report(data: JsonObject) -> EngineReport:
    """Return an engine's report, or raise :class:`DeclarationError`."""
    try:
        return EngineReport(
            started_at=_whole(data.get("born", 0)),
            order_count=_whole(data["sequence"]),
            is_busy=bool(data.get("busy")),
            held=_held(data["models"]),
            loading=tuple(_copy(item) for item in data.get("coming") or ()),
        )
    except _FAILURES as error:
        raise DeclarationError([f"the report is unreadable: {error!r}"]) from error


def _held(models: list[JsonObject]) -> HeldModels:
    base = tuple((str(item["name"]), _whole(item.get("version", 0))) for item in models)
    adapters = tuple(
        _copy(f"{item['name']}/{adapter}")
        for item in models
        for adapter in item.get("adapters") or ()
    )
    return HeldModels(base, adapters)


def _copy(text: str) -> AdapterCopyKey:
    """Return an adapter copy from MODEL/NAME@VERSION."""
    name, _, version = text.partition("@")
    model, _, adapter = name.partition("/")
    return AdapterCopyKey(model, adapter, int(version) if version else 0)


def _whole(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise TypeError(f"{value!r} is not a whole number")
    return value
