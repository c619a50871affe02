"""Define the report of a host to the owner of an engine."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import HostId, ServerId, ServiceName
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.models.routing.speed_observation import SpeedObservation


@dataclass(frozen=True, slots=True)
class CopyUse:
    """Count a host's requests on a copy: those in flight, and all started so far."""

    key: AdapterCopyKey
    in_flight: int
    started: int


@dataclass(frozen=True, slots=True)
class CopyLoadRequest:
    """Request the load of an adapter copy for ``waiting`` requests.

    ``slack`` is the time in seconds until the latest of them misses its target latency.
    ``is_missing`` means that the engine reported a copy as missing that should be
    ready.
    """

    key: AdapterCopyKey
    waiting: int
    slack: float = 0.0
    is_missing: bool = False


@dataclass(frozen=True, slots=True)
class EngineUsage:
    """Describe a host's use of one engine.

    ``requests`` and ``tokens`` are those in flight. ``pending_prefill_tokens`` are the
    prompt tokens that await prefill, those of requests whose response has not started.
    ``slowdown`` is the ratio of latency to normal (1.0 is normal, more is slower) that
    the server last reported, ``slowdown_age`` seconds ago. ``observations`` are
    the timings of streams since the host's last report on the engine.
    """

    server: ServerId
    requests: int
    tokens: int
    pending_prefill_tokens: int
    slowdown: float = 1.0
    slowdown_age: float = 60.0
    copy_uses: tuple[CopyUse, ...] = ()
    load_requests: tuple[CopyLoadRequest, ...] = ()
    observations: tuple[SpeedObservation, ...] = ()


@dataclass(frozen=True, slots=True)
class WaitingCount:
    """Count a host's requests of a rank that wait for any engine of a service."""

    service: ServiceName
    rank: int
    count: int


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Hold a host's use of engines, and its requests that wait for one.

    A report with a higher ``(incarnation, sequence)`` replaces an older one.
    """

    host: HostId
    incarnation: int
    sequence: int
    engines: tuple[EngineUsage, ...]
    waiting: tuple[WaitingCount, ...] = ()
