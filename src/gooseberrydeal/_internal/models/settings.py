"""Define the settings files of the programs."""

from pathlib import Path
from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from gooseberrydeal._internal.models.declared import Name
from gooseberrydeal._internal.utils.ip_address import split_ip_and_port


def _validate_address(text: str) -> str:
    try:
        split_ip_and_port(text)
    except ValueError as error:
        raise ValueError(
            f"{error}; give an IP address and a port, such as 10.0.0.1:7400"
        ) from error
    return text


def _validate_url(text: str) -> str:
    scheme, separator, rest = text.partition("://")
    if scheme not in ("http", "https") or not separator:
        raise ValueError("expected an http or https URL such as http://10.0.0.1:2379")
    _validate_address(rest.rstrip("/"))
    return text


Address = Annotated[str, AfterValidator(_validate_address)]
Url = Annotated[str, AfterValidator(_validate_url)]


class _Settings(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid", strict=True)


class TlsSettings(_Settings):
    """Hold the PEM files for mutual TLS; they are reloaded when they change."""

    certificate: Path = Field(strict=False)
    key: Path = Field(strict=False)
    authority: Path = Field(strict=False)


class PlatformSettings(_Settings):
    """Hold the URLs of the platform's services."""

    store: Url
    hosts: Url
    weights: Url


class KeeperSettings(_Settings):
    """Hold the settings of a keeper. Addresses have the form ``IP:port``."""

    host: Name
    domain: Name
    listen: Address
    operators: Address
    platform: PlatformSettings
    peers: tuple[Address, ...] = Field(default=(), strict=False)
    tls: TlsSettings | None = None
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    drain_seconds: float = Field(default=600.0, gt=0)
    policy: Literal["cost", "plain"] = "cost"


class EntrySettings(_Settings):
    """Hold the settings of an entry. It connects to the first reachable keeper."""

    host: Name
    domain: Name
    listen: Address
    operators: Address
    keepers: tuple[Address, ...] = Field(min_length=1, strict=False)
    tls: TlsSettings | None = None
    public_tls: TlsSettings | None = None
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    body_bytes: int = Field(default=1_048_576, ge=1024)
    header_bytes: int = Field(default=16_384, ge=1024)
    connections: int = Field(default=4096, ge=1)
    header_seconds: float = Field(default=10.0, gt=0)
    drain_seconds: float = Field(default=600.0, gt=0)
    policy: Literal["cost", "round-robin", "least-loaded-lagged", "hash-only"] = "cost"


class CtlSettings(_Settings):
    """Hold the settings of the operators' command-line program."""

    platform: PlatformSettings
    keepers: tuple[Address, ...] = Field(min_length=1, strict=False)
    author: str = Field(min_length=1)
    tls: TlsSettings | None = None
