"""Decode the registrations of backend servers and the reports of engines."""

import json
from typing import Final

from gooseberrydeal._internal.exceptions import DeclarationError
from gooseberrydeal._internal.models.ids import (
    DomainName,
    ServerId,
    ServiceName,
    SoftwareVersion,
)
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.engine_report import EngineReport
from gooseberrydeal._internal.models.routing.server_entry import (
    HeldModels,
    ServerEntry,
    ServerState,
)
from gooseberrydeal._internal.utils.ip_address import split_ip_and_port
from gooseberrydeal._internal.utils.json_value import DECODE_ERRORS, JsonObject
from gooseberrydeal._internal.utils.number_range import integer_in

# Longer texts are no version; those of all streams are sent between hosts.
_MAX_VERSION_LENGTH: Final = 64
_MAX_SLOTS: Final = 1_000_000
# Starts and versions may be times, in nanoseconds.
_MAX_NUMBER: Final = 2**63 - 1
_SERVER_STATES: Final = {"ready": ServerState.READY, "draining": ServerState.DRAINING}


def decode_server(server: str, value: bytes) -> ServerEntry:
    """Return a server from its JSON registration in the metadata store.

    Raises :class:`DeclarationError` if the registration is invalid.
    """
    try:
        data = json.loads(value)
        address, domain, service = data["address"], data["zone"], data["service"]
        if not all(isinstance(item, str) for item in (address, domain, service)):
            raise TypeError("address, zone and service must be strings")
        split_ip_and_port(address)
        return ServerEntry(
            id=ServerId(server),
            service=ServiceName(service),
            address=address,
            domain=DomainName(domain),
            slots=integer_in(data["slots"], 0, _MAX_SLOTS),
            state=_SERVER_STATES[data["state"]],
            started_at=_number(data.get("born", 0)),
            order_count=_number(data.get("sequence", 0)),
            held=_decode_held_models(data["models"]) if "models" in data else None,
            software_version=_decode_version(data.get("version")),
        )
    except DECODE_ERRORS as error:
        raise DeclarationError(
            [f"invalid registration of server {server}: {error!r}"]
        ) from error


def decode_report(data: JsonObject) -> EngineReport:
    """Return an engine's report from its JSON object.

    Raises :class:`DeclarationError` if the report is invalid.
    """
    try:
        return EngineReport(
            started_at=_number(data.get("born", 0)),
            order_count=_number(data["sequence"]),
            is_busy=bool(data.get("busy")),
            # Orders go by the report: without its list, all slots would seem free.
            held=_decode_held_models(data["models"], requires_adapters=True),
            loading=tuple(
                _decode_adapter_copy(item) for item in data.get("coming") or ()
            ),
        )
    except DECODE_ERRORS as error:
        raise DeclarationError([f"invalid engine report: {error!r}"]) from error


def _decode_held_models(
    models: list[JsonObject], *, requires_adapters: bool = False
) -> HeldModels:
    base = tuple(
        (str(item["name"]), _number(item.get("version", 0))) for item in models
    )
    adapters = tuple(
        _decode_adapter_copy(f"{item['name']}/{adapter}")
        for item in models
        for adapter in _adapters_of(item, is_required=requires_adapters)
    )
    return HeldModels(base, adapters)


def _adapters_of(model: JsonObject, *, is_required: bool) -> list[str]:
    return (model["adapters"] if is_required else model.get("adapters")) or []


def _decode_adapter_copy(text: str) -> AdapterCopyKey:
    """Return an adapter copy from ``MODEL/ADAPTER`` or ``MODEL/ADAPTER@VERSION``."""
    name, _, version = text.partition("@")
    model, _, adapter = name.partition("/")
    return AdapterCopyKey(model, adapter, _number(int(version or 0)))


def _decode_version(value: object) -> SoftwareVersion | None:
    """Return a software version, ``None`` if it is missing or malformed."""
    is_valid = isinstance(value, str) and 0 < len(value) <= _MAX_VERSION_LENGTH
    return SoftwareVersion(str(value)) if is_valid else None


def _number(value: object) -> int:
    return integer_in(value, 0, _MAX_NUMBER)
