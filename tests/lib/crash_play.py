"""Send requests that crash servers to a cluster again and again, beside sound ones."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field, replace

from tests.lib.crash_cluster import CrashCluster
from tests.lib.prompt_parts import FIRST_PART

# The platform's bound: sends later than this after the third crash are counted.
STABLE_WINDOW_SECONDS = 3.0
MAX_LATE_SENDS = 3
_COUNTED_CRASHES = 3
# What a single request may cost in all.
MAX_CRASHES = _COUNTED_CRASHES + MAX_LATE_SENDS
_SOUND_PARTS = 40


@dataclass(frozen=True, slots=True)
class Call:
    """Describe one request of a caller.

    With ``has_own_query``, its query differs each time that it is sent. With ``part``,
    it is another request each time, but with this part in its prompt, after one that
    all requests share.
    """

    body: bytes
    path: str = "/safe/a"
    method: str = "POST"
    has_own_query: bool = False
    part: str = ""

    @property
    def prompt(self) -> str:
        """Return the parts of the prompt as they are sent."""
        own = f"own{self.body.hex()}"
        return f"{FIRST_PART}:100,{self.part}:50,{own}:5" if self.part else ""

    def numbered(self, number: int) -> "Call":
        """Return the request as it is sent for the time ``number``."""
        if self.part:
            return replace(self, body=b"%s %d" % (self.part.encode(), number))
        if not self.has_own_query:
            return self
        separator = "&" if "?" in self.path else "?"
        return replace(self, path=f"{self.path}{separator}n={number}")


@dataclass(slots=True)
class CrashPlay:
    """Repeat ``bad`` requests every ``interval`` seconds, at hosts in turn.

    The sound requests are sent ``sound_interval`` seconds apart, each of them once.
    """

    cluster: CrashCluster
    bad: list[Call]
    sound: Call
    seconds: float
    interval: float = 1.0
    sound_interval: float = 0.05
    sound_statuses: Counter[int] = field(default_factory=Counter)

    @property
    def served_share(self) -> float:
        """Return which share of the sound requests was served."""
        return self.sound_statuses[200] / max(1, self.sound_statuses.total())

    def late_sends(self) -> dict[str, int]:
        """Return how often each bad request was sent too late after its crashes."""
        servers = self.cluster.servers
        crashes: dict[str, list[float]] = {}
        for name, at in sorted(
            (item for server in servers for item in server.bad_crashes),
            key=lambda item: item[1],
        ):
            crashes.setdefault(name, []).append(at)
        arrivals = [item for server in servers for item in server.bad_arrivals]
        return {
            name: sum(
                other == name
                and at > times[_COUNTED_CRASHES - 1] + STABLE_WINDOW_SECONDS
                for other, at in arrivals
            )
            for name, times in crashes.items()
            if len(times) >= _COUNTED_CRASHES
        }

    def crash_counts(self) -> Counter[str]:
        """Return at how many crashes each bad request was running."""
        servers = self.cluster.servers
        return Counter(name for server in servers for name, _ in server.bad_crashes)

    async def run(self) -> None:
        """Play all requests and wait for their answers."""
        async with asyncio.TaskGroup() as group:
            for number, call in enumerate(self.bad):
                group.create_task(self._repeat(call, number))
            group.create_task(self._send_sound())

    async def _repeat(self, call: Call, first_host: int) -> None:
        hosts = list(self.cluster.nodes)
        calls = []
        for number in range(int(self.seconds / self.interval)):
            host = hosts[(first_host + number) % len(hosts)]
            calls.append(asyncio.create_task(self._call(host, call.numbered(number))))
            await asyncio.sleep(self.interval)
        await asyncio.gather(*calls)

    async def _send_sound(self) -> None:
        hosts = list(self.cluster.nodes)
        calls = []
        for number in range(int(self.seconds / self.sound_interval)):
            body = self.sound.body and self.sound.body + b" %d" % number
            call = replace(self.sound, body=body, has_own_query=not body)
            if call.part:
                call = replace(call, part=f"{call.part}{number % _SOUND_PARTS}")
            host = hosts[number % len(hosts)]
            calls.append(asyncio.create_task(self._call(host, call.numbered(number))))
            await asyncio.sleep(self.sound_interval)
        self.sound_statuses.update(await asyncio.gather(*calls))

    async def _call(self, host: str, call: Call) -> int:
        try:
            found = await self.cluster.call(
                host,
                call.body,
                call.path,
                call.method,
                **({"X_Prompt_Prefix": call.prompt} if call.part else {}),
            )
        except (TimeoutError, ConnectionError):
            return 0
        return found[0]
