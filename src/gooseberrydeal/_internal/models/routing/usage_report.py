"""Describe what a host tells the owner of an engine."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import HostId, ServerId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey


@dataclass(frozen=True, slots=True)
class CopyUse:
    """Count a host's requests on a copy: those in flight, and all it ever started."""

    key: AdapterCopyKey
    in_flight: int
    started: int


@dataclass(frozen=True, slots=True)
class CopyWant:
    """Ask for a copy on behalf of waiting requests.

    ``slack`` is the time in seconds until the latest of them misses its target latency.
    ``is_missing`` says that the engine denied having a copy that should be ready.
    """

    key: AdapterCopyKey
    waiting: int
    slack: float = 0.0
    is_missing: bool = False


@dataclass(frozen=True, slots=True)
class EngineUsage:
    """Hold a host's use of one engine.

    ``unread_tokens`` are those of prompts whose response has not begun. ``pace`` is
    the server's last word on how long work takes, ``pace_age`` seconds ago.
    """

    server: ServerId
    requests: int
    tokens: int
    unread_tokens: int
    pace: float = 1.0
    pace_age: float = 60.0
    uses: tuple[CopyUse, ...] = ()
    wants: tuple[CopyWant, ...] = ()


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Hold a host's use of engines; a newer report replaces an older one."""

    host: HostId
    incarnation: int
    sequence: int
    engines: tuple[EngineUsage, ...]
