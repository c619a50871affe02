"""Run hosts that hand an engine over to each other, over one store in memory."""

import asyncio

from tests.lib.fake_metadata_store import StoreData
from tests.lib.host_freezer import HostFreezer, install_freezers
from tests.lib.owner_world import (
    OwnerHost,
    new_engine,
    new_store_data,
    report_demand,
    write_platform_entries,
)

HOSTS = 3
SETTLE_SECONDS = 4.0
_STEP_SECONDS = 0.2
# An owner that misses its renewals for this long has handed its engines over.
_HANDOVER_SECONDS = 5.0


class HandoverWorld:
    """Run three hosts that exchange datagrams over one store and engine."""

    def __init__(self, *, can_freeze: bool = False) -> None:
        if can_freeze:
            install_freezers()
        self.engine = new_engine(slots=400)
        self.data = new_store_data()
        network: dict[str, OwnerHost] = {}
        self.hosts = [
            OwnerHost(
                f"host-{n}",
                self.data,
                self.engine,
                number=n,
                address=f"host-{n}",
                freezer=HostFreezer() if can_freeze else None,
            )
            .join(network)
            .start()
            for n in range(HOSTS)
        ]
        self._next_adapter = 0

    @property
    def owner(self) -> OwnerHost:
        """Return the only host that owns the engine."""
        owners = [host for host in self.hosts if host.is_owner]
        assert len(owners) == 1
        return owners[0]

    def others(self, *excluded: OwnerHost) -> list[OwnerHost]:
        """Return the other hosts."""
        return [host for host in self.hosts if host not in excluded]

    def orders_after(self, at: float) -> int:
        """Return the number of orders since a time."""
        return sum(sent_at > at for sent_at, _ in self.engine.log)

    async def run(self, seconds: float) -> None:
        """Report demand for new adapters."""
        await report_demand(self.hosts, seconds, self._next_adapter)
        self._next_adapter += int(seconds / _STEP_SECONDS)

    async def hand_over(self) -> OwnerHost:
        """Cut the owner off from the store until it has handed over; return it."""
        former = self.owner
        former.store.is_cut = True
        await self.run(_HANDOVER_SECONDS)
        assert self.owner is not former
        former.store.is_cut = False
        await self.run(SETTLE_SECONDS)
        return former

    def restore(self, saved: StoreData, leases_for: float = 0.0) -> None:
        """Restore the store from a copy, in which leases last for some seconds."""
        now = asyncio.get_running_loop().time()
        self.data.restore(saved, now + leases_for)
        write_platform_entries(self.data, self.engine)

    async def restart(self, host: OwnerHost) -> OwnerHost:
        """Restart a host without a planned stop; return the new process."""
        await host.kill()
        restarted = host.restarted()
        self.hosts[self.hosts.index(host)] = restarted
        return restarted

    def heal(self) -> None:
        """End all faults of hosts and their stores."""
        for host in self.hosts:
            host.is_cut_from_hosts = host.store.is_cut = False
            host.store.rejects_reads = host.store.rejects_writes = False
            host.store.loses_answers = False
            if host.freezer is not None:
                host.freezer.thaw()

    async def stop(self) -> None:
        """Stop all hosts."""
        for host in self.hosts:
            await host.kill()
