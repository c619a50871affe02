"""Define the message with state changes of hosts and servers."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.messages.host_report import HostReport
from gooseberrydeal._internal.models.messages.server_report import ServerReport
from gooseberrydeal._internal.models.messages.slots_report import SlotsReport


@dataclass(frozen=True, slots=True)
class ViewUpdate:
    """Carry the reports that are newer than those last sent on this connection."""

    hosts: tuple[HostReport, ...] = ()
    servers: tuple[ServerReport, ...] = ()
    slots: tuple[SlotsReport, ...] = ()
