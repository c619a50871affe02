"""Generate the reference pages for settings and metrics."""

import re
from collections.abc import Mapping
from typing import Final

from pydantic import BaseModel
from pydantic.fields import FieldInfo

from gooseberrydeal._internal.models.http_status import HTTP_STATUS
from gooseberrydeal._internal.models.retry_reason import RetryReason
from gooseberrydeal._internal.models.settings import (
    CtlSettings,
    EntrySettings,
    KeeperSettings,
    PlatformSettings,
    TlsSettings,
)
from gooseberrydeal._internal.network.metrics import Metrics

_SETTINGS_MODELS: Final[Mapping[str, type[BaseModel]]] = {
    "keeper": KeeperSettings,
    "entry": EntrySettings,
    "ctl": CtlSettings,
    "platform (a part of keeper and ctl)": PlatformSettings,
    "tls (a part of all)": TlsSettings,
}


def settings_page() -> str:
    """Return the Markdown page that lists all settings."""
    parts = ["# Settings\n\nWritten by `make docs` from the models.\n"]
    for name, model in _SETTINGS_MODELS.items():
        parts.append(f"## {name}\n\n{model.__doc__}\n\n| key | form | default |")
        parts.append("|---|---|---|")
        for key, field in model.model_fields.items():
            parts.append(f"| `{key}` | {_type_text(field)} | {_default_text(field)} |")
        parts.append("")
    return "\n".join(parts)


def metrics_page() -> str:
    """Return the Markdown page that lists all metrics."""
    parts = ["# Metrics\n\nWritten by `make docs` from the code.\n"]
    parts += ["| metric | kind | meaning |", "|---|---|---|"]
    for name, kind, meaning in Metrics("reference").describe():
        parts.append(f"| `{name}` | {kind} | {meaning} |")
    reasons = ", ".join(f"`{reason.value}`" for reason in HTTP_STATUS)
    retries = ", ".join(f"`{reason.value}`" for reason in RetryReason)
    parts.append(f"\nReasons of `gooseberry_refusals_total`: {reasons}.")
    parts.append(f"\nReasons of `gooseberry_retries_total`: {retries}.\n")
    return "\n".join(parts)


def _type_text(field: FieldInfo) -> str:
    text = str(field.annotation)
    for removed in (
        "typing.",
        "gooseberrydeal._internal.models.settings.",
        "<class '",
        "'>",
        "pathlib.",
        "pathlib._local.",
    ):
        text = text.replace(removed, "")
    text = re.sub(r"Annotated\[str,.*?\)\]", "str", text)
    return text.replace("|", "or")


def _default_text(field: FieldInfo) -> str:
    return "required" if field.is_required() else f"`{field.default!r}`"
