"""Read the boot file, in which the platform passes a host its settings.

Each line has the form ``a.b=value``. Lines without ``=`` and unknown names are ignored.
"""

import math
from pathlib import Path
from typing import Final

from gooseberrydeal._internal.exceptions import SettingsError
from gooseberrydeal._internal.models.ids import DomainName, HostId
from gooseberrydeal._internal.models.routing.host_settings import (
    HostSettings,
    RoutingBounds,
    StoreSettings,
)
from gooseberrydeal._internal.utils.number_range import number_in

SETTINGS_PATH_VARIABLE: Final = "GOOSEBERRYDEAL_CONFIG"
# ``portRange`` holds the ports reserved for this host: the first one receives the
# reports of other hosts, the next one serves metrics.
_METRICS_PORT_OFFSET: Final = 1
_BYTES_PER_MEGABYTE: Final = 1024 * 1024
_BYTES_PER_MEGABIT: Final = 1_000_000 // 8
# A bound beyond this, in its own unit, is a mistake.
_MAX_BOUND: Final = 1e12


def read_boot_file(path: Path) -> HostSettings:
    """Return the settings in a boot file.

    Raises :class:`SettingsError` if the file cannot be read, lacks a required setting
    or holds a value that is not a number where one is expected.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: cannot be read: {error}") from error
    values = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            values[name.strip()] = value.strip()
    try:
        return _parse_settings(values)
    except KeyError as error:
        raise SettingsError(f"{path}: {error.args[0]} is missing") from error
    except ValueError as error:
        raise SettingsError(f"{path}: {error}") from error


def _parse_settings(values: dict[str, str]) -> HostSettings:
    ip = values["ip"]
    first_port = int(values["portRange"].split(",")[0])
    return HostSettings(
        host=HostId(values["nodeName"]),
        domain=DomainName(values["zone"]),
        callers=values["listen.front"],
        readiness=values["listen.ready"],
        peers=f"{ip}:{first_port}",
        metrics=f"{ip}:{first_port + _METRICS_PORT_OFFSET}",
        store=StoreSettings(
            address=values["platform.address"],
            shortest_lease=float(values.get("platform.ttlMinMs") or 1000) / 1000,
        ),
        is_first_start=values.get("bootstrap") == "true",
        shares_plain_places=values.get("sharePlainPlaces") == "true",
        bounds=_parse_bounds(values),
        memory_bytes=_parse_limit(values, "memoryMb", _BYTES_PER_MEGABYTE),
        max_descriptors=_parse_limit(values, "maxFds", 1),
        link_bytes_per_second=_parse_limit(values, "linkMbps", _BYTES_PER_MEGABIT),
    )


def _parse_limit(values: dict[str, str], name: str, factor: int) -> int | None:
    """Return a limit of the host, ``None`` if it is not stated or not positive."""
    value = float(values.get(f"limits.{name}") or 0.0)
    return int(value * factor) if 0.0 < value < math.inf else None


def _parse_bounds(values: dict[str, str]) -> RoutingBounds:
    defaults = RoutingBounds()

    def bound(value: str) -> float:
        return number_in(float(value), 0.0, _MAX_BOUND)

    def from_milliseconds(name: str, default: float) -> float:
        value = values.get(f"bounds.{name}")
        return bound(value) / 1000 if value else default

    def number(name: str, default: float) -> float:
        value = values.get(f"bounds.{name}")
        return bound(value) if value else default

    return RoutingBounds(
        grace=number("graceS", defaults.grace),
        handover_gap=from_milliseconds("leaseMs", defaults.handover_gap),
        # The platform spells this name in snake case, unlike the other bounds.
        adapter_version=from_milliseconds("version_ms", defaults.adapter_version),
        store_change=min(
            from_milliseconds("configApplyMs", defaults.store_change),
            from_milliseconds("drainMs", defaults.store_change),
        ),
        retry_ratio=number("retryBudgetRatio", defaults.retry_ratio),
        retry_window=number("budgetWindowS", defaults.retry_window),
        retry_slack=number("retryBudgetSlack", defaults.retry_slack),
        has_strict_revocation=values.get("bounds.strictRevoke") == "true",
        revocation=from_milliseconds("revokeMs", defaults.revocation),
        quota_window=number("quotaWindowS", defaults.quota_window),
        quota_overshoot=number("quotaOvershoot", defaults.quota_overshoot),
        quota_slack=number("quotaSlack", defaults.quota_slack),
    )
