"""Start and stop the owners of the servers that this host owns."""

import asyncio
from collections.abc import Callable

from gooseberrydeal._internal.models.backend_server import BackendServer
from gooseberrydeal._internal.models.configuration import Configuration
from gooseberrydeal._internal.models.ids import FencingNumber
from gooseberrydeal._internal.operations.keeper.server_factory import ServerFactory
from gooseberrydeal._internal.operations.keeper.server_owner import ServerOwner
from gooseberrydeal._internal.utils.tasks import TaskOwner


class OwnedServerSet:
    """Manage the active server owners and those that are draining."""

    def __init__(
        self,
        owners: dict[str, ServerOwner],
        factory: ServerFactory,
        on_change: Callable[[], None],
    ) -> None:
        self._owners = owners
        self._factory = factory
        self._on_change = on_change
        self._draining: list[ServerOwner] = []
        self._tasks = TaskOwner()

    @property
    def draining(self) -> list[ServerOwner]:
        """Return the owners that only complete their running jobs."""
        return self._draining

    async def on_acquired(
        self, server: BackendServer, epoch: FencingNumber, *, may_adopt: bool
    ) -> None:
        """Start the owner of a server."""
        owner = self._factory.build(server, epoch, may_adopt=may_adopt)
        self._owners[server.name] = owner
        self._tasks.start(owner.start(), f"own {server.name}")

    async def on_released(self, server: str) -> None:
        """Drain the owner of a server, then stop it."""
        owner = self._owners.pop(server, None)
        if owner is None:
            return
        self._draining.append(owner)
        self._tasks.start(self._drain_and_stop(owner), f"end {server}")
        self._on_change()

    def on_adoption_allowed(self, server: str) -> None:
        """Adopt the copies of an earlier owner, which can send no more orders."""
        self._factory.allow_adoption(server)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply changed declarations of the owned servers."""
        for name, owner in self._owners.items():
            declared = configuration.server(name)
            if declared is not None:
                owner.apply_configuration(declared)

    async def finish(self, seconds: float) -> int:
        """Drain all owners for at most ``seconds``; return how many jobs still run."""
        owners = self._all_owners()
        try:
            async with asyncio.timeout(seconds):
                await asyncio.gather(*(owner.drain() for owner in owners))
        except TimeoutError:
            return sum(len(owner.running) for owner in owners)
        return 0

    async def stop(self) -> None:
        """Stop all owners without draining."""
        for owner in self._all_owners():
            await owner.stop()
        await self._tasks.stop()

    def _all_owners(self) -> list[ServerOwner]:
        return [*self._owners.values(), *self._draining]

    async def _drain_and_stop(self, owner: ServerOwner) -> None:
        await owner.drain()
        await owner.stop()
        if owner in self._draining:
            self._draining.remove(owner)
