"""Test the codecs for the platform's boot file, store entries and headers."""

import json
import math
from pathlib import Path

import pytest

from gooseberrydeal._internal.exceptions import DeclarationError, SettingsError
from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.adapter_key import (
    AdapterCopyKey,
    AdapterKey,
)
from gooseberrydeal._internal.models.routing.forward_facts import ForwardAttributes
from gooseberrydeal._internal.models.routing.http_heads import (
    RequestHead,
    ResponseHead,
)
from gooseberrydeal._internal.models.routing.route import RequestKind
from gooseberrydeal._internal.models.routing.server_entry import ServerState
from gooseberrydeal._internal.models.routing.store_item import StoreItem
from gooseberrydeal._internal.platform.boot_file import read_boot_file
from gooseberrydeal._internal.platform.configuration_codec import (
    decode_adapter_version,
    decode_configuration,
)
from gooseberrydeal._internal.platform.metadata_names import PlatformMetadataCodec
from gooseberrydeal._internal.platform.relay_codec import PlatformRelayCodec
from gooseberrydeal._internal.platform.server_codec import decode_report, decode_server
from tests.lib.routing_builders import MODEL, platform_configuration

_BOOT_FILE = """nodeName=edge-1
zone=d1
ip=10.1.0.38
listen.front=10.1.0.38:8149
listen.ready=10.1.0.38:8141
portRange=7380,7395
bootstrap=true
limits.maxFds=4200
bounds.drainMs=2500
bounds.leaseMs=3500
bounds.version_ms=4000
bounds.retryBudgetSlack=54
platform.address=10.200.1.7:8142
unknown.field=whatever
"""


def test_boot_file_is_read(tmp_path: Path) -> None:
    path = tmp_path / "boot.conf"
    path.write_text(_BOOT_FILE)
    settings = read_boot_file(path)
    assert (settings.host, settings.domain) == ("edge-1", "d1")
    assert settings.peers == "10.1.0.38:7380"
    assert settings.metrics == "10.1.0.38:7381"
    assert settings.is_first_start
    bounds = settings.bounds
    assert (bounds.handover_gap, bounds.adapter_version) == (3.5, 4.0)
    assert bounds.retry_slack == 54.0
    assert bounds.grace == 8.0


@pytest.mark.parametrize(
    ("line", "problem"),
    [("zone=d1", "zone is missing"), ("portRange=7380,7395", "portRange is missing")],
)
def test_missing_boot_keys_are_named(tmp_path: Path, line: str, problem: str) -> None:
    path = tmp_path / "boot.conf"
    path.write_text(_BOOT_FILE.replace(line + "\n", ""))
    with pytest.raises(SettingsError, match=problem):
        read_boot_file(path)
    with pytest.raises(SettingsError, match="cannot be read"):
        read_boot_file(tmp_path / "absent.conf")


def test_configuration_is_read() -> None:
    found = decode_configuration(platform_configuration())
    assert found.version == 7
    route = found.routes[0]
    assert (route.host, route.path_prefix) == ("letters.example", "/pufi791/")
    assert route.kind is RequestKind.STREAMING
    assert (route.timeout, route.target_latency, route.longest_pause) == (12, 1, 0.4)
    assert route.is_repeatable
    engine = found.services[route.services[0].service].engine
    assert engine is not None
    assert (engine.adapter_slots, engine.models[MODEL].load_seconds) == (18, 0.6)
    assert found.limits.idle_timeout == 9.0


@pytest.mark.parametrize(
    ("kind", "target_ms", "pause_ms", "expected"),
    [
        ("streaming", 800, 400, 3.2),
        ("streaming", 1000, 400, 4.0),
        ("streaming", 200, 400, 3.2),
        ("streaming", 200, 100, 2.0),
        ("safe", 800, 400, math.inf),
    ],
)
def test_caller_idle_timeout_is_derived_from_the_route(
    kind: str, target_ms: int, pause_ms: int, expected: float
) -> None:
    routes = json.loads(platform_configuration())["routes"]
    routes[0].update(kind=kind, targetLatencyMs=target_ms, gapAimMs=pause_ms)
    found = decode_configuration(platform_configuration(routes=routes))
    assert found.routes[0].caller_idle_timeout == pytest.approx(expected)


def test_invalid_routes_are_skipped_and_the_rest_is_used() -> None:
    routes = json.loads(platform_configuration())["routes"]
    broken = [{"name": "x"}, {**routes[0], "kind": "new"}, 7, routes[0]]
    found = decode_configuration(platform_configuration(routes=broken))
    assert [route.name for route in found.routes] == ["letters"]
    with pytest.raises(DeclarationError):
        decode_configuration(b"{")


def test_weighted_services_are_read() -> None:
    routes = json.loads(platform_configuration())["routes"]
    del routes[0]["service"]
    routes[0]["weightedServices"] = [
        {"service": "language", "weight": 90},
        {"service": "plain", "weight": 10},
    ]
    found = decode_configuration(platform_configuration(routes=routes))
    weights = [(s.service, s.weight) for s in found.routes[0].services]
    assert weights == [("language", 90.0), ("plain", 10.0)]


_SERVER = {
    "service": "language",
    "address": "10.128.0.9:8080",
    "zone": "d1",
    "version": "v1",
    "slots": 128,
    "state": "ready",
    "born": 1780892751285,
    "models": [{"name": MODEL, "version": 1, "adapters": ["a3@1", "a7@2"]}],
    "sequence": 4,
}


def test_server_entries_are_read() -> None:
    entry = decode_server("i-1", json.dumps(_SERVER).encode())
    assert (entry.id, entry.state) == ("i-1", ServerState.READY)
    assert (entry.started_at, entry.order_count) == (1780892751285, 4)
    assert entry.held is not None
    assert entry.held.adapters == (
        AdapterCopyKey(MODEL, "a3", 1),
        AdapterCopyKey(MODEL, "a7", 2),
    )


@pytest.mark.parametrize(
    "change",
    [
        {"address": 7},
        {"address": "nowhere"},
        {"slots": "many"},
        {"slots": True},
        {"state": "resting"},
        {"service": None},
        {"models": [{"adapters": []}]},
        {"models": [{"name": MODEL, "adapters": ["a3@x"]}]},
        {"born": "yesterday"},
    ],
)
def test_invalid_server_entry_is_rejected(change: dict[str, object]) -> None:
    with pytest.raises(DeclarationError, match="i-1"):
        decode_server("i-1", json.dumps({**_SERVER, **change}).encode())


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b"null", b"7"])
def test_server_entry_that_is_not_a_json_object_is_rejected(value: bytes) -> None:
    with pytest.raises(DeclarationError):
        decode_server("i-1", value)


def test_server_reports_are_read() -> None:
    report = decode_report(
        {
            "models": _SERVER["models"],
            "busy": False,
            "sequence": 9,
            "born": 5,
            "coming": [f"{MODEL}/a9@3"],
        }
    )
    assert (report.order_count, report.started_at) == (9, 5)
    assert report.loading == (AdapterCopyKey(MODEL, "a9", 3),)
    with pytest.raises(DeclarationError):
        decode_report({"models": 7})


def test_store_keys_are_distinguished() -> None:
    codec = PlatformMetadataCodec()
    version = json.dumps({"model": MODEL, "adapter": "a1", "version": 3}).encode()
    item = StoreItem(f"op/version/{MODEL}.a1", version, 5)
    assert codec.adapter_version(item) == (AdapterKey(MODEL, "a1"), 3)
    assert codec.configuration(item) is None
    assert codec.server_id("servers/i-1") == "i-1"
    assert codec.server_id("op/config") is None
    found = codec.configuration(StoreItem("op/config", platform_configuration(), 6))
    assert found is not None
    with pytest.raises(DeclarationError):
        decode_adapter_version(b"{}")


def _head(**fields: str) -> RequestHead:
    headers = [(k.replace("_", "-").encode(), v.encode()) for k, v in fields.items()]
    return RequestHead(b"POST", b"/a/b?c=1", tuple(headers))


def test_request_headers_are_read() -> None:
    attributes = PlatformRelayCodec().read_request(
        _head(
            Host="Letters.Example:80",
            X_Request_Id="q1",
            X_Deadline_Ms="2500",
            X_Model=f"{MODEL}/a3",
            X_Token_Counts="1460,80",
        )
    )
    assert (attributes.host, attributes.path, attributes.time_limit) == (
        "letters.example",
        "/a/b",
        2.5,
    )
    assert attributes.adapter == AdapterKey(MODEL, "a3")
    assert (attributes.prompt_tokens, attributes.output_tokens) == (1460, 80)


def test_invalid_request_headers_are_ignored() -> None:
    attributes = PlatformRelayCodec().read_request(
        _head(X_Deadline_Ms="soon", X_Token_Counts="7")
    )
    assert attributes.time_limit is None
    assert (attributes.prompt_tokens, attributes.output_tokens) == (0, 0)


@pytest.mark.parametrize("name", ["X_Deadline_Ms", "X_Token_Counts"])
def test_numbers_with_very_many_digits_are_ignored(name: str) -> None:
    value = "9" * 5000
    if name == "X_Token_Counts":
        value = f"{value},{value}"
    attributes = PlatformRelayCodec().read_request(_head(**{name: value}))
    assert attributes.time_limit is None
    assert (attributes.prompt_tokens, attributes.output_tokens) == (0, 0)


def test_system_headers_are_replaced_when_forwarding() -> None:
    head = _head(X_Request_Priority="0", X_Expect_Version="9", Last_Event_Id="4")
    attributes = ForwardAttributes(ServerId("i-1"), 1.5, rank=12, adapter_version=2)
    fields = PlatformRelayCodec().forward_headers(head, attributes)
    assert dict(fields) == {
        b"X-Deadline-Ms": b"1500",
        b"X-Expect-Instance": b"i-1",
        b"X-Request-Priority": b"9",
        b"X-Expect-Version": b"2",
    }
    attributes = ForwardAttributes(ServerId("i-1"), 1.5, forwards_last_event_id=True)
    assert (b"Last-Event-Id", b"4") in PlatformRelayCodec().forward_headers(
        head, attributes
    )


@pytest.mark.parametrize(
    ("status", "fields", "is_not_run"),
    [
        (503, {"X-Not-Executed": "1"}, True),
        (503, {}, False),
        (421, {}, True),
        (200, {"X-Instance-Load": "3,1,8,250"}, False),
    ],
)
def test_response_headers_are_read(
    status: int, fields: dict[str, str], is_not_run: bool
) -> None:
    headers = tuple((k.encode(), v.encode()) for k, v in fields.items())
    reply = PlatformRelayCodec().read_response(ResponseHead(status, b"", headers))
    assert reply.is_not_run is is_not_run
    if reply.load is not None:
        assert (reply.load.running, reply.load.waiting, reply.load.slowdown) == (
            3,
            1,
            2.5,
        )


@pytest.mark.parametrize(
    "value", ["inf,0,8", "1,0,8,inf", "nan,0,8", "-1,0,8", "", "3", "3,x,8", "a,b,c,d"]
)
def test_invalid_load_headers_are_ignored(value: str) -> None:
    headers = ((b"X-Instance-Load", value.encode()),)
    head = ResponseHead(200, b"", headers)
    assert PlatformRelayCodec().read_response(head).load is None
