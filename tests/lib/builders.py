"""Build messages, views and declarations with defaults that tests override."""

from gooseberrydeal import Deployment, Operation, key_hash
from gooseberrydeal._internal.models.adapter_ref import AdapterRef
from gooseberrydeal._internal.models.ids import (
    AdapterName,
    CallerName,
    ClassName,
    RequestId,
    VersionName,
)
from gooseberrydeal._internal.models.messages.host_report import HostReport
from gooseberrydeal._internal.models.messages.server_report import ServerReport
from gooseberrydeal._internal.models.placement_query import PlacementQuery
from gooseberrydeal._internal.models.server_view import ServerView
from gooseberrydeal._internal.models.work_item import WorkItem


def adapter_ref(name: str = "a", version: str = "v1") -> AdapterRef:
    return AdapterRef(AdapterName(name), VersionName(version))


def work_item(
    request: str = "r1",
    caller: str = "c1",
    work_class: str = "short",
    *,
    arrived: float = 0.0,
    slot_seconds: float = 1.0,
    importance: int = 5,
    deadline: float = 100.0,
) -> WorkItem:
    return WorkItem(
        request_id=RequestId(request),
        caller=CallerName(caller),
        work_class=ClassName(work_class),
        importance=importance,
        arrived=arrived,
        deadline=deadline,
        slot_seconds=slot_seconds,
        adapter=adapter_ref(),
    )


def server_view(
    server: str = "s1",
    *,
    domain: str = "d1",
    running: int = 0,
    queued: int = 0,
    outstanding: int = 0,
    concurrency: int = 8,
    wait_seconds: float = 0.0,
    slowdown: float = 1.0,
    victim_demand: float | None = 0.0,
    ready: frozenset[AdapterRef] = frozenset(),
    loading: frozenset[AdapterRef] = frozenset(),
) -> ServerView:
    return ServerView(
        server,
        domain,
        "h1",
        "10.0.0.1:7400",
        running,
        queued,
        outstanding,
        concurrency,
        wait_seconds,
        slowdown,
        victim_demand,
        ready,
        loading,
    )


def placement_query(
    adapter: AdapterRef | None = None,
    *,
    slot_seconds: float = 0.5,
    excluded: frozenset[str] = frozenset(),
    load_wait_seconds: float = 0.0,
) -> PlacementQuery:
    return PlacementQuery(
        adapter or adapter_ref(), slot_seconds, "d1", "", excluded, load_wait_seconds
    )


def server_report(
    server: str = "s1",
    epoch: int = 1,
    sequence: int = 1,
    *,
    owner: str = "h1",
    accepts: bool = True,
) -> ServerReport:
    return ServerReport(
        server=server,
        epoch=epoch,
        sequence=sequence,
        owner=owner,
        owner_address="10.0.0.1:7400",
        accepts=accepts,
        running=0,
        queued=0,
        concurrency=8,
        wait_seconds=0.0,
        slowdown=1.0,
        victim_demand=0.0,
    )


def host_report(
    host: str = "h1",
    *,
    incarnation: float = 1.0,
    sequence: int = 1,
    domain: str = "d1",
    revision: int = 1,
) -> HostReport:
    return HostReport(
        host=host,
        domain=domain,
        address="10.0.0.1:7400",
        incarnation=incarnation,
        sequence=sequence,
        revision=revision,
        is_leaving=False,
        waiting_loads=0,
        spare_permits=0,
        budget_epoch=1,
        platform_reachable=True,
    )


def deployment(adapters: int = 5) -> Deployment:
    """Declare one engine, a model and a plain service, one caller and the adapters."""
    declared = Deployment("test")
    declared.limits(loads_per_second=9, loads_at_full_speed=3)
    declared.work_class("short")
    declared.model_service("language", default_class="short")
    declared.plain_service(
        "booking",
        default_class="short",
        operations=[Operation(name="redeem", repeatable=False, work_class="short")],
    )
    declared.server(
        "engine0",
        service="language",
        domain="d1",
        address="10.0.0.1:80",
        adapter_slots=4,
    )
    for number in range(adapters):
        declared.adapter(
            f"a{number}",
            service="language",
            base_model="base",
            versions={"v1": f"a{number}/v1"},
        )
    declared.caller(
        "counter", key_hashes=[key_hash("k")], services=["language"], adapters=["a*"]
    )
    return declared
