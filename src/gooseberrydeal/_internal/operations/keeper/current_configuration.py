"""Look up what a keeper needs of the configuration in force."""

from collections.abc import Callable

from gooseberrydeal._internal.models.backend_server import BackendServer
from gooseberrydeal._internal.models.configuration import Configuration
from gooseberrydeal._internal.models.platform_limits import PlatformLimits
from gooseberrydeal._internal.models.work_class import WorkClass
from gooseberrydeal._internal.operations.configuration_task import ConfigurationTask


class CurrentConfiguration:
    """Follow the revision in force, with an empty one before the first."""

    def __init__(self, task: Callable[[], ConfigurationTask]) -> None:
        self._task = task

    def current(self) -> Configuration:
        """Return the configuration in force."""
        return self._task().configuration or Configuration(())

    def limits(self) -> PlatformLimits | None:
        """Return the platform's limits, if they are known."""
        configuration = self._task().configuration
        return None if configuration is None else configuration.limits

    def claim_window(self) -> int:
        """Return for how many seconds claims are kept."""
        return self.current().limits.claim_window_seconds

    def work_class(self, name: str) -> WorkClass:
        """Return a class of work."""
        return self.current().work_class(name)

    def servers(self) -> list[BackendServer]:
        """Return the declared backend servers."""
        return self.current().servers
