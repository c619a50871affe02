"""Define what hosts tell each other about requests that may crash servers."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import HostId
from gooseberrydeal._internal.models.routing.crash_evidence import CrashEvidence


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Send a part of a host's evidence to another host."""

    host: HostId
    evidence: tuple[CrashEvidence, ...]
