"""Build routing test data with defaults that tests override."""

import json
from typing import Any

from gooseberrydeal._internal.models.ids import (
    DomainName,
    FencingNumber,
    HostId,
    RequestId,
    ServerId,
    ServiceName,
    SoftwareVersion,
)
from gooseberrydeal._internal.models.routing.adapter_key import (
    AdapterCopyKey,
    AdapterKey,
)
from gooseberrydeal._internal.models.routing.engine_status import EngineStatus
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.request_facts import RequestAttributes
from gooseberrydeal._internal.models.routing.route import (
    RequestKind,
    Route,
    WeightedService,
)
from gooseberrydeal._internal.models.routing.routing_configuration import (
    BaseModel,
    EngineCapacity,
    RoutingConfiguration,
    ServiceConfiguration,
)
from gooseberrydeal._internal.models.routing.server_entry import (
    HeldModels,
    ServerEntry,
    ServerState,
)
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.policy.engine_choice import EngineCandidate

MODEL = "base"
LANGUAGE = ServiceName("language")
PLAIN = ServiceName("plain")


def copy_key(adapter: str = "a1", version: int = 1) -> AdapterCopyKey:
    return AdapterCopyKey(MODEL, adapter, version)


def adapter_key(adapter: str = "a1") -> AdapterKey:
    return AdapterKey(MODEL, adapter)


def route(**changes: Any) -> Route:
    values: dict[str, Any] = {
        "name": "r1",
        "host": "example",
        "path_prefix": "/a/",
        "kind": RequestKind.STREAMING,
        "timeout": 10.0,
        "target_latency": 0.8,
        "services": (WeightedService(LANGUAGE, 1.0),),
        "max_servers": 1,
    }
    return Route(**{**values, **changes})


def engine_capacity(slots: int = 4) -> EngineCapacity:
    model = BaseModel(MODEL, 16_100.0, 0.6)
    return EngineCapacity({MODEL: model}, slots, 150_000)


def service(name: ServiceName = LANGUAGE, slots: int = 4) -> ServiceConfiguration:
    engine = engine_capacity(slots) if name == LANGUAGE else None
    return ServiceConfiguration(name, 100, engine)


def configuration(
    version: int = 1, routes: tuple[Route, ...] = (), slots: int = 4
) -> RoutingConfiguration:
    services = {LANGUAGE: service(slots=slots), PLAIN: service(PLAIN)}
    return RoutingConfiguration(version, routes or (route(),), services)


def server_entry(server: str = "i-1", **changes: Any) -> ServerEntry:
    values: dict[str, Any] = {
        "id": ServerId(server),
        "service": LANGUAGE,
        "address": "127.0.0.1:9",
        "domain": DomainName("d1"),
        "slots": 128,
        "state": ServerState.READY,
        "started_at": 1,
        "held": HeldModels(base_models=((MODEL, 1),)),
        "software_version": SoftwareVersion("v1"),
    }
    return ServerEntry(**{**values, **changes})


def engine_status(server: str = "i-1", **changes: Any) -> EngineStatus:
    values: dict[str, Any] = {
        "owner": HostId("h1"),
        "server": ServerId(server),
        "fencing_number": FencingNumber(1),
        "sequence": 1,
        "may_load": False,
        "spare_slots": 0,
        "requests": 0,
        "tokens": 0,
        "pending_prefill_tokens": 0,
        "slowdown": 1.0,
        "base_models": (MODEL,),
        "copies": (),
    }
    return EngineStatus(**(values | changes))


def membership(host: str = "h1", domain: str = "d1", number: int = 1) -> HostMembership:
    return HostMembership(HostId(host), DomainName(domain), "127.0.0.1:9", number)


def candidate(server: str = "i-1", **changes: Any) -> EngineCandidate:
    values: dict[str, Any] = {
        "server": ServerId(server),
        "requests": 0.0,
        "tokens": 0.0,
        "pending_prefill_tokens": 0.0,
        "batch_size": 128,
        "token_capacity": 150_000,
        "slowdown": 1.0,
        "is_local": True,
        "has_model": True,
        "copy": None,
        "can_load": True,
    }
    return EngineCandidate(**{**values, **changes})


def request_facts(**changes: Any) -> RequestAttributes:
    values: dict[str, Any] = {
        "request_id": RequestId("q1"),
        "host": "example",
        "path": "/a/b",
        "time_limit": 5.0,
        "adapter": adapter_key(),
        "prompt_tokens": 600,
        "output_tokens": 70,
    }
    return RequestAttributes(**{**values, **changes})


def routed_request(
    kind: RequestKind = RequestKind.STREAMING, **changes: Any
) -> RoutedRequest:
    """Return a request of a route of this kind that arrived at the start."""
    found = route(kind=kind)
    return RoutedRequest(
        request_facts(**changes), found, found.services[0].service, 0.0, 10.0
    )


def platform_configuration(**changes: Any) -> bytes:
    """Encode a configuration in the platform's JSON format.

    ``changes`` replace top-level keys.
    """
    data: dict[str, Any] = {
        "version": 7,
        "routes": [
            {
                "name": "letters",
                "host": "Letters.Example",
                "pathPrefix": "/pufi791/",
                "kind": "streaming",
                "timeoutMs": 12000,
                "targetLatencyMs": 1000,
                "priority": 2,
                "service": "language",
                "maxAttempts": 2,
                "sticky": True,
                "resumable": True,
                "gapAimMs": 400,
            }
        ],
        "services": [
            {
                "name": "language",
                "healthPath": "/health",
                "maxConnections": 620,
                "engine": {
                    "slots": 128,
                    "kvCapacity": 149252,
                    "models": [
                        {
                            "name": MODEL,
                            "weightsMb": 16100.0,
                            "loadS": 0.6,
                            "adapters": 3000,
                            "adapterMb": 14.0,
                        }
                    ],
                    "weightsMb": 16700.0,
                    "adapterSlots": 18,
                    "loadsPerS": 9.2,
                },
            },
            {"name": "plain", "healthPath": "/health", "maxConnections": 100},
        ],
        "limits": {"maxHeaderBytes": 100, "maxBodyBytes": 200, "idleTimeoutMs": 9000},
    }
    return json.dumps({**data, **changes}).encode()
