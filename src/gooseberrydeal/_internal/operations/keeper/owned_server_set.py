"""Begin and end the ownership of servers on this host."""

import asyncio
from collections.abc import Callable

from gooseberrydeal._internal.models.backend_server import BackendServer
from gooseberrydeal._internal.models.configuration import Configuration
from gooseberrydeal._internal.models.ids import FencingNumber
from gooseberrydeal._internal.operations.keeper.server_factory import ServerFactory
from gooseberrydeal._internal.operations.keeper.server_owner import ServerOwner
from gooseberrydeal._internal.utils.tasks import TaskOwner


class OwnedServerSet:
    """Hold the owners of servers, and those whose work is still ending."""

    def __init__(
        self,
        owners: dict[str, ServerOwner],
        factory: ServerFactory,
        on_change: Callable[[], None],
    ) -> None:
        self._owners = owners
        self._factory = factory
        self._on_change = on_change
        self._ending: list[ServerOwner] = []
        self._tasks = TaskOwner()

    @property
    def ending(self) -> list[ServerOwner]:
        """Return the owners that give no more orders."""
        return self._ending

    async def acquired(
        self, server: BackendServer, epoch: FencingNumber, *, may_adopt: bool
    ) -> None:
        """Begin to own a server."""
        owner = self._factory.build(server, epoch, may_adopt=may_adopt)
        self._owners[server.name] = owner
        self._tasks.start(owner.start(), f"own {server.name}")

    async def released(self, server: str) -> None:
        """Give no more orders to a server; running work ends by itself."""
        owner = self._owners.pop(server, None)
        if owner is None:
            return
        self._ending.append(owner)
        self._tasks.start(self._end(owner), f"end {server}")
        self._on_change()

    def may_adopt(self, server: str) -> None:
        """Note that an earlier owner can give no more orders."""
        self._factory.allow_adoption(server)

    def redeclare(self, configuration: Configuration) -> None:
        """Take changed declarations into force."""
        for name, owner in self._owners.items():
            declared = configuration.server(name)
            if declared is not None:
                owner.redeclare(declared)

    async def finish(self, seconds: float) -> int:
        """Let all work end in time; return how many jobs were cut."""
        owners = self._all()
        try:
            async with asyncio.timeout(seconds):
                await asyncio.gather(*(owner.drain() for owner in owners))
        except TimeoutError:
            return sum(len(owner.running) for owner in owners)
        return 0

    async def stop(self) -> None:
        """End all owners at once."""
        for owner in self._all():
            await owner.stop()
        await self._tasks.stop()

    def _all(self) -> list[ServerOwner]:
        return [*self._owners.values(), *self._ending]

    async def _end(self, owner: ServerOwner) -> None:
        await owner.drain()
        await owner.stop()
        if owner in self._ending:
            self._ending.remove(owner)
