"""Check that crowds of clients do not exhaust a host's memory or descriptors."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import pytest

from tests.lib.client_crowd import (
    MAX_BODY,
    ClientCrowd,
    ClientScript,
    chunked,
    endless_head,
    head,
    huge_declared,
    pipelined,
    pipelined_bodies,
    slow_end,
    slow_head,
    small_chunks,
    whole_body,
)
from tests.lib.crowded_hosts import KEY, CrowdedHosts, crowded_hosts
from tests.lib.exclusive import exclusive
from tests.lib.router_process import RouterProcess

_BYTES_PER_MB = 1024 * 1024
_SEND_SECONDS = 6.0
# The connections stay open for this long, in which the host handles what it got.
_KEPT_SECONDS = 1.0
# The smallest of the deployments have 1,638.
_MAX_DESCRIPTORS = 400
_BODY_CROWDS = {160: 48, 200: 60, 300: 84}


@dataclass(frozen=True, slots=True)
class _Load:
    """Hold which clients come to which address of which hosts."""

    clients: int
    scripts: tuple[ClientScript, ...]
    memory_mb: int = 160
    hosts: int = 1
    max_descriptors: int | None = None
    address: Callable[[RouterProcess], str] = lambda router: router.callers


def _bodies(script: ClientScript, memory_mb: int) -> _Load:
    return _Load(_BODY_CROWDS[memory_mb], (script,), memory_mb)


def _connections(script: ClientScript, address: str = "callers") -> _Load:
    return _Load(
        _MAX_DESCRIPTORS + 50,
        (script,),
        max_descriptors=_MAX_DESCRIPTORS,
        address=lambda router: str(getattr(router, address)),
    )


_SHORT_OF_END = chunked(MAX_BODY - 1)
_OVERSIZED = chunked(24_000_000)
_UNREAD = ClientScript((head("large", "Content-Length: 0"),))
_LOADS = {
    **{f"short_of_end-{mb}": _bodies(_SHORT_OF_END, mb) for mb in _BODY_CROWDS},
    **{f"oversized-{mb}": _bodies(_OVERSIZED, mb) for mb in _BODY_CROWDS},
    **{f"whole-{mb}": _bodies(whole_body("hold"), mb) for mb in _BODY_CROWDS},
    "small_chunks": _Load(40, (small_chunks(100_000),)),
    "huge_declared": _Load(48, (huge_declared(),)),
    "endless_heads": _Load(48, (endless_head(),)),
    "slow_ends": _Load(48, (slow_end(),)),
    "pipelined": _Load(100, (pipelined(),)),
    "pipelined_bodies": _Load(12, (pipelined_bodies(),)),
    "unread_responses": _Load(600, (_UNREAD,)),
    "with_and_without_key": _Load(
        48, (chunked(MAX_BODY - 1, f"Authorization: Bearer {KEY}"), _SHORT_OF_END)
    ),
    "all_hosts": _Load(48, (_SHORT_OF_END,), hosts=2),
    "between_hosts": _Load(48, (_SHORT_OF_END,), address=lambda router: router.peers),
    "ready_bodies": _Load(
        48, (_SHORT_OF_END,), address=lambda router: router.readiness
    ),
    "silent_connections": _connections(ClientScript()),
    "silent_between_hosts": _connections(ClientScript(), "peers"),
    "silent_ready": _connections(ClientScript(), "readiness"),
    "slow_heads": _connections(slow_head()),
    "slow_heads_ready": _connections(slow_head(), "readiness"),
}


def _check_bounds(hosts: CrowdedHosts, load: _Load) -> None:
    for router, descriptors in zip(hosts.routers, hosts.most_descriptors, strict=True):
        assert router.is_running, router.log[-20:]
        assert router.peak_memory_bytes < load.memory_mb * _BYTES_PER_MB
        assert load.max_descriptors is None or descriptors < load.max_descriptors


@pytest.mark.parametrize("load", _LOADS.values(), ids=_LOADS.keys())
def test_crowds_neither_exhaust_a_host_nor_shut_others_out(
    tmp_path: Path, load: _Load
) -> None:
    async def scenario() -> None:
        async with crowded_hosts(
            tmp_path, load.hosts, load.memory_mb, load.max_descriptors
        ) as hosts:
            addresses = [load.address(router) for router in hosts.routers]
            async with ClientCrowd(load.clients, addresses, *load.scripts) as crowd:
                await crowd.sent(_SEND_SECONDS)
                await asyncio.sleep(_KEPT_SECONDS)
                _check_bounds(hosts, load)
                for router in hosts.routers:
                    assert await hosts.is_answering(router.callers), router.log[-20:]
                    assert await router.wait_ready(_SEND_SECONDS)
            for router in hosts.routers:
                assert await hosts.is_answering(router.callers)
            _check_bounds(hosts, load)

    with exclusive():
        asyncio.run(asyncio.wait_for(scenario(), 90.0))


def test_a_host_that_stops_ends_in_the_middle_of_a_crowd(tmp_path: Path) -> None:
    """Guards against a crowd that keeps a stopping process from its end."""

    async def scenario() -> None:
        async with crowded_hosts(tmp_path, 1, 160) as hosts:
            router = hosts.routers[0]
            async with ClientCrowd(48, [router.callers], _SHORT_OF_END) as crowd:
                await crowd.sent(_SEND_SECONDS)
                await asyncio.sleep(_KEPT_SECONDS)
                peak = router.peak_memory_bytes
                assert await router.terminate() >= 0
            assert peak < 160 * _BYTES_PER_MB

    with exclusive():
        asyncio.run(asyncio.wait_for(scenario(), 90.0))
