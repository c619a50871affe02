"""Check that a host goes on after any of its lasting tasks has failed once."""

import asyncio
from collections import Counter
from typing import Any, Final

import pytest

from gooseberrydeal._internal.lab.router.router_cluster import RouterCluster
from gooseberrydeal._internal.lab.router.router_demo import call_router
from gooseberrydeal._internal.operations.router.crash_gossip import CrashGossip
from gooseberrydeal._internal.operations.router.crash_records import CrashRecords
from gooseberrydeal._internal.operations.router.declaration_watch import (
    DeclarationWatch,
)
from gooseberrydeal._internal.operations.router.engine_owner import EngineOwner
from gooseberrydeal._internal.operations.router.known_state_writer import (
    KnownStateWriter,
)
from gooseberrydeal._internal.operations.router.lease_keeper import LeaseKeeper
from gooseberrydeal._internal.operations.router.limit_exchange import LimitExchange
from gooseberrydeal._internal.operations.router.metadata_follower import (
    MetadataFollower,
)
from gooseberrydeal._internal.operations.router.ownership.engine_ownership import (
    EngineOwnership,
)
from gooseberrydeal._internal.operations.router.ownership.handover_exchange import (
    HandoverExchange,
)
from gooseberrydeal._internal.operations.router.quotas.quota_admission import (
    QuotaAdmission,
)
from gooseberrydeal._internal.operations.router.report_exchange import ReportExchange
from gooseberrydeal._internal.operations.router.stall_monitor import StallMonitor
from gooseberrydeal._internal.operations.router.suspect_isolation import (
    SuspectIsolation,
)

_LASTING_TASKS: Final[tuple[type[Any], ...]] = (
    CrashGossip,
    CrashRecords,
    DeclarationWatch,
    EngineOwner,
    EngineOwnership,
    HandoverExchange,
    KnownStateWriter,
    LeaseKeeper,
    LimitExchange,
    MetadataFollower,
    QuotaAdmission,
    ReportExchange,
    StallMonitor,
    SuspectIsolation,
)


def test_a_host_whose_tasks_all_fail_once_serves_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Starved: an engine whose owner had failed got no orders while its lease went on.
    runs: Counter[str] = Counter()

    def fail_at_first(task: type[Any]) -> None:
        run = task.run

        async def fail_or_run(self: Any) -> None:
            runs[task.__name__] += 1
            if runs[task.__name__] == 1:
                raise ValueError("unexpected")
            await run(self)

        monkeypatch.setattr(task, "run", fail_or_run)

    for task in _LASTING_TASKS:
        fail_at_first(task)

    async def scenario() -> None:
        cluster = RouterCluster(hosts=1, engines=1, slots=3)
        await cluster.start()
        try:
            for adapter in ("a0", "a1", "a2", "a3"):
                address = cluster.addresses["host-0"]
                while (await call_router(address, adapter, f"q-{adapter}"))[0] != 200:
                    await asyncio.sleep(0.05)
        finally:
            await cluster.stop()

    asyncio.run(asyncio.wait_for(scenario(), 60.0))
    assert all(runs[task.__name__] >= 2 for task in _LASTING_TASKS), runs
