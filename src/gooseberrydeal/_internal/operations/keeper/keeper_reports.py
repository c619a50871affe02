"""Write a keeper's reports on itself and its servers."""

from collections.abc import Mapping
from typing import Final, Protocol

from gooseberrydeal._internal.models.lifecycle import Lifecycle
from gooseberrydeal._internal.models.messages.host_report import HostReport
from gooseberrydeal._internal.models.messages.view_update import ViewUpdate
from gooseberrydeal._internal.operations.alarms import Alarms
from gooseberrydeal._internal.operations.configuration_task import ConfigurationTask
from gooseberrydeal._internal.operations.keeper.keeper_context import KeeperContext
from gooseberrydeal._internal.operations.keeper.load_permit_queue import LoadPermitQueue
from gooseberrydeal._internal.operations.keeper.server_owner import ServerOwner
from gooseberrydeal._internal.utils import rendezvous

_READERS_PER_DOMAIN: Final = 2


class Reporting(Protocol):
    """Offer what the reports tell."""

    @property
    def context(self) -> KeeperContext:
        """Return what the tasks have in common."""
        ...

    @property
    def configuration(self) -> ConfigurationTask:
        """Return the task that follows the configuration."""
        ...

    @property
    def permit_queue(self) -> LoadPermitQueue:
        """Return the task that lets loads start."""
        ...

    @property
    def lifecycle(self) -> Lifecycle:
        """Return the phase of the process."""
        ...

    @property
    def owners(self) -> Mapping[str, ServerOwner]:
        """Return the owned servers."""
        ...

    @property
    def alarms(self) -> Alarms:
        """Return the alarms of the process."""
        ...

    @property
    def incarnation(self) -> float:
        """Return when the process was started."""
        ...

    @property
    def is_platform_reachable(self) -> bool:
        """Return whether the platform answered the last call."""
        ...


class KeeperReports:
    """Gather the state of the tasks."""

    def __init__(self, node: Reporting) -> None:
        self._node = node

    def is_reader(self) -> bool:
        """Return whether this host reads the configuration for its domain."""
        context = self._node.context
        now = context.clock.monotonic()
        live = {
            report.host
            for report in context.view.live_hosts(now)
            if report.domain == context.domain
        }
        live.add(context.host)
        ranked = rendezvous.ranked("configuration readers", live)
        return context.host in ranked[:_READERS_PER_DOMAIN]

    def host_report(self, sequence: int) -> HostReport:
        """Return the report on this host."""
        node = self._node
        return HostReport(
            host=node.context.host,
            domain=node.context.domain,
            address=node.context.address,
            incarnation=node.incarnation,
            sequence=sequence,
            revision=node.configuration.number,
            is_leaving=not node.lifecycle.is_serving,
            waiting_loads=node.permit_queue.waiting,
            spare_permits=node.permit_queue.spare,
            budget_epoch=node.permit_queue.pool.epoch,
            platform_reachable=node.is_platform_reachable,
            alarms=node.alarms.names,
        )

    def server_reports(self) -> ViewUpdate:
        """Return the reports that have news."""
        owners = list(self._node.owners.values())
        servers = [report for owner in owners if (report := owner.report())]
        slots = [found for owner in owners if (found := owner.slots_report())]
        return ViewUpdate(servers=tuple(servers), slots=tuple(slots))
