"""Give access to the current configuration of a keeper."""

from collections.abc import Callable

from gooseberrydeal._internal.models.backend_server import BackendServer
from gooseberrydeal._internal.models.configuration import Configuration
from gooseberrydeal._internal.models.platform_limits import PlatformLimits
from gooseberrydeal._internal.models.work_class import WorkClass
from gooseberrydeal._internal.operations.configuration_task import ConfigurationTask


class CurrentConfiguration:
    """Read from the current configuration revision.

    Until the first revision is received, an empty configuration is used.
    """

    def __init__(self, task: Callable[[], ConfigurationTask]) -> None:
        self._task = task

    def current(self) -> Configuration:
        """Return the current configuration, empty if none has been received."""
        return self._task().configuration or Configuration(())

    def limits(self) -> PlatformLimits | None:
        """Return the platform limits, ``None`` before the first revision."""
        configuration = self._task().configuration
        return None if configuration is None else configuration.limits

    def claim_window(self) -> int:
        """Return the claim window in seconds."""
        return self.current().limits.claim_window_seconds

    def work_class(self, name: str) -> WorkClass:
        """Return the work class with a name."""
        return self.current().work_class(name)

    def servers(self) -> list[BackendServer]:
        """Return the declared backend servers."""
        return self.current().servers
