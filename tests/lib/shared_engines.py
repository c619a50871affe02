"""Run hosts that share a few engines, in virtual time."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable

from gooseberrydeal._internal.models.ids import DomainName, HostId, ServerId
from gooseberrydeal._internal.models.routing.copy_state import CopyState
from gooseberrydeal._internal.models.routing.engine_status import CopyStatus
from gooseberrydeal._internal.models.routing.host_membership import HostMembership
from gooseberrydeal._internal.models.routing.place_messages import (
    PlaceGrant,
    PlaceRequest,
)
from gooseberrydeal._internal.models.routing.route import Route
from gooseberrydeal._internal.network.report_codec import decode_report
from gooseberrydeal._internal.network.router_metrics import RouterMetrics
from gooseberrydeal._internal.operations.router.assignment import NoAssignment
from gooseberrydeal._internal.operations.router.routed_request import RoutedRequest
from gooseberrydeal._internal.operations.router.waiting.engine_places import (
    EnginePlaces,
)
from gooseberrydeal._internal.operations.router.waiting.place_client import (
    PlaceClient,
)
from gooseberrydeal._internal.operations.router.waiting.place_keeper import (
    PlaceKeeper,
)
from gooseberrydeal._internal.operations.router.waiting.place_link import PlaceLink
from tests.lib.dispatch_world import DispatcherHarness
from tests.lib.routing_builders import (
    LANGUAGE,
    adapter_key,
    configuration,
    copy_key,
    engine_status,
    request_facts,
    route,
    server_entry,
)

HOSTS = 24
ENGINES = 8
SLOTS = 10
CAPACITY_PER_SECOND = ENGINES * SLOTS * 0.9 / 0.4
URGENT = route(name="urgent", target_latency=0.5, caller_idle_timeout=4.0)
DEFERRED = route(name="deferred", rank=2, target_latency=2.0)
_STATUS_SECONDS = 0.15
_WORK_SECONDS = 0.4
_ADAPTERS = 48


class SharedEngines:
    """Let hosts hear of the engines' load now and then; each adapter is on two.

    ``loses`` decides which messages about places are lost. ``most_requests`` and
    ``most_tokens`` are the most that any engine had at the same time.
    """

    def __init__(self, *, has_places: bool) -> None:
        self.rng = random.Random(3)
        self.loses: Callable[[], bool] = lambda: False
        self.counts: Counter[tuple[str, str]] = Counter()
        self.most_requests = 0
        self.most_tokens = 0
        self._slots = {f"i-{n}": asyncio.Semaphore(SLOTS) for n in range(1, 9)}
        self._receivers: dict[str, Callable[[bytes], None]] = {}
        self._hosts = [DispatcherHarness() for _ in range(HOSTS)]
        for number, host in enumerate(self._hosts):
            self._set_up(host, number, has_places=has_places)
        self._statuses = asyncio.create_task(self._send_statuses())

    def share(self, name: str, outcome: str) -> float:
        total = sum(count for key, count in self.counts.items() if key[0] == name)
        return self.counts[name, outcome] / total

    async def load(self, of: Route, rates: list[float], tokens: int = 70) -> None:
        """Send requests for a second at each rate, in parts of the capacity."""
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as tasks:
            for rate in rates:
                end = loop.time() + 1.0
                while loop.time() < end:
                    per_second = rate * CAPACITY_PER_SECOND
                    await asyncio.sleep(self.rng.expovariate(per_second))
                    tasks.create_task(self._request(of, tokens))

    def stop(self) -> None:
        self._statuses.cancel()

    async def _request(self, of: Route, tokens: int) -> None:
        host = self.rng.choice(self._hosts)
        now = host.now()
        adapter = adapter_key(f"a{self.rng.randrange(_ADAPTERS)}")
        facts = request_facts(adapter=adapter, prompt_tokens=10, output_tokens=tokens)
        deadline = now + (5.0 if of is URGENT else 12.0)
        request = RoutedRequest(facts, of, LANGUAGE, now, deadline)
        found = await host.dispatcher.assign(request)
        if isinstance(found, NoAssignment):
            self.counts[of.name, "refused"] += 1
            return
        record = found.record
        record.begin(found.copy, request.tokens, 0)
        self._note_most(record.id)
        async with self._slots[record.id]:
            waited = host.now() - now
            await asyncio.sleep(_WORK_SECONDS * self.rng.uniform(0.8, 1.2))
        record.end(found.copy, request.tokens)
        request.release_place()
        host.dispatcher.eligible.brittle.place_released(record)
        is_late = waited > of.target_latency - 0.1
        self.counts[of.name, "late" if is_late else "in_time"] += 1

    def _note_most(self, server: ServerId) -> None:
        loads = [r.load for h in self._hosts if (r := h.servers.get(server))]
        requests = sum(load.own_requests for load in loads)
        tokens = sum(load.own_tokens for load in loads)
        self.most_requests = max(self.most_requests, requests)
        self.most_tokens = max(self.most_tokens, tokens)

    def _set_up(
        self, host: DispatcherHarness, number: int, *, has_places: bool
    ) -> None:
        if has_places:
            host.view.configuration = configuration(routes=(URGENT, DEFERRED))
        members = [
            HostMembership(HostId(f"h{n}"), DomainName("d1"), f"h{n}:1", n)
            for n in range(HOSTS)
        ]
        host.view.hosts.update({member.host: member for member in members})
        host.servers.set_host_count(HOSTS)
        for server in self._slots:
            host.servers.put(server_entry(server, slots=SLOTS))
        for adapter in range(_ADAPTERS):
            host.view.declare(adapter_key(f"a{adapter}"), 1, host.now())
        link = PlaceLink(members[number], host.view, self._send, host.now)
        metrics = RouterMetrics()
        client = PlaceClient(link, host.view, host.servers, metrics, host.now)
        keeper = PlaceKeeper(link, host.servers, metrics, host.now, host.now)
        host.dispatcher._engine_places = EnginePlaces(
            client, host.dispatcher.queues, host.now, random.Random(number)
        )

        def receive(data: bytes) -> None:
            report = decode_report(data)
            if isinstance(report, PlaceRequest):
                keeper.request_received(report)
            elif isinstance(report, PlaceGrant):
                client.grant_received(report)
            else:
                keeper.release_received(report)  # type: ignore[arg-type]

        self._receivers[members[number].address] = receive

    def _send(self, data: bytes, address: str) -> None:
        if not self.loses():
            delay = self.rng.uniform(0.0001, 0.0014)
            receive = self._receivers[address]
            asyncio.get_running_loop().call_later(delay, receive, data)

    async def _send_statuses(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            for number in range(ENGINES):
                self._send_status(number, sequence)
                await asyncio.sleep(_STATUS_SECONDS / ENGINES)

    def _send_status(self, number: int, sequence: int) -> None:
        server = f"i-{number + 1}"
        loads = [r.load for h in self._hosts if (r := h.servers.get(ServerId(server)))]
        held = [
            f"a{adapter}"
            for adapter in range(_ADAPTERS)
            if number in (adapter % 8, (adapter // 8 + adapter * 3 + 1) % 8)
        ]
        status = engine_status(
            server,
            sequence=sequence,
            requests=sum(load.own_requests for load in loads),
            tokens=sum(load.own_tokens for load in loads),
            copies=tuple(CopyStatus(copy_key(a), CopyState.READY) for a in held),
        )
        for host in self._hosts:
            host.servers.apply_status(status)
