"""Read the platform's settings file: lines of the form ``a.b=value``."""

from pathlib import Path
from typing import Final

from gooseberrydeal._internal.exceptions import SettingsError
from gooseberrydeal._internal.models.ids import DomainName, HostId
from gooseberrydeal._internal.models.routing.host_settings import (
    HostSettings,
    RoutingBounds,
    StoreSettings,
)

SETTINGS_PATH_VARIABLE: Final = "GOOSEBERRYDEAL_CONFIG"
# The second port of the free range serves metrics; the first carries host reports.
_METRICS_OFFSET: Final = 1


def read_boot_file(path: Path) -> HostSettings:
    """Return the facts of a settings file, or raise :class:`SettingsError`."""
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
        return _settings(values)
    except KeyError as error:
        raise SettingsError(f"{path}: {error.args[0]} is missing") from error
    except ValueError as error:
        raise SettingsError(f"{path}: {error}") from error


def _settings(values: dict[str, str]) -> HostSettings:
    ip = values["ip"]
    first_port = int(values["portRange"].split(",")[0])
    return HostSettings(
        host=HostId(values["nodeName"]),
        domain=DomainName(values["zone"]),
        callers=values["listen.front"],
        readiness=values["listen.ready"],
        peers=f"{ip}:{first_port}",
        metrics=f"{ip}:{first_port + _METRICS_OFFSET}",
        store=StoreSettings(
            address=values["platform.address"],
            shortest_lease=float(values.get("platform.ttlMinMs") or 1000) / 1000,
        ),
        is_first_start=values.get("bootstrap") == "true",
        bounds=_bounds(values),
    )


def _bounds(values: dict[str, str]) -> RoutingBounds:
    usual = RoutingBounds()

    def seconds(name: str, default: float) -> float:
        given = values.get(f"bounds.{name}")
        return float(given) / 1000 if given else default

    def plain(name: str, default: float) -> float:
        given = values.get(f"bounds.{name}")
        return float(given) if given else default

    return RoutingBounds(
        grace=plain("graceS", usual.grace),
        handover_gap=seconds("leaseMs", usual.handover_gap),
        # This bound alone is spelled with an underscore.
        adapter_version=seconds("version_ms", usual.adapter_version),
        retry_ratio=plain("retryBudgetRatio", usual.retry_ratio),
        retry_window=plain("budgetWindowS", usual.retry_window),
        retry_slack=plain("retryBudgetSlack", usual.retry_slack),
    )
