"""Create the reports of a keeper on its host and servers."""

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


class ReportSource(Protocol):
    """Provide the state that the reports contain."""

    @property
    def context(self) -> KeeperContext:
        """Return the state that the tasks share."""
        ...

    @property
    def configuration(self) -> ConfigurationTask:
        """Return the task that keeps the configuration up to date."""
        ...

    @property
    def permit_queue(self) -> LoadPermitQueue:
        """Return the queue of adapter loads that need a permit."""
        ...

    @property
    def lifecycle(self) -> Lifecycle:
        """Return the lifecycle phase of the process."""
        ...

    @property
    def owners(self) -> Mapping[str, ServerOwner]:
        """Return the owners of the servers that this keeper owns, by server name."""
        ...

    @property
    def alarms(self) -> Alarms:
        """Return the alarms of the process."""
        ...

    @property
    def incarnation(self) -> float:
        """Return the start time of the process, in seconds since the epoch."""
        ...

    @property
    def is_platform_reachable(self) -> bool:
        """Return whether the platform's store answered the last lease update."""
        ...


class KeeperReports:
    """Create reports from the state of a keeper."""

    def __init__(self, node: ReportSource) -> None:
        self._node = node

    def is_reader(self) -> bool:
        """Return whether this host reads the configuration from the platform.

        A few hosts of each failure domain do so.
        """
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
        """Return the report on this host; ``sequence`` orders its reports."""
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
        """Return the server and adapter slot reports that are due."""
        owners = list(self._node.owners.values())
        servers = [report for owner in owners if (report := owner.report())]
        slots = [found for owner in owners if (found := owner.slots_report())]
        return ViewUpdate(servers=tuple(servers), slots=tuple(slots))
