"""Send streams whose prompts share parts to the hosts of a cluster."""

import asyncio
import itertools
import random
from dataclasses import dataclass, field

from tests.lib.crash_cluster import CrashCluster
from tests.lib.crashing_server import BAD_PART

FIRST_PART = "f1"


@dataclass
class PartTraffic:
    """Send distinct requests to random hosts and keep what their callers got.

    ``sound`` holds the statuses of the sound requests with the times of their sending,
    ``bad`` those of the requests with one of ``bad_parts`` at ``bad_position``.
    """

    cluster: CrashCluster
    bad_parts: tuple[str, ...] = (BAD_PART,)
    bad_position: int = 1
    first_part: str = FIRST_PART
    bad_fraction: float = 0.12
    seed: int = 1
    sound: list[tuple[float, int]] = field(default_factory=list)
    bad: list[tuple[float, int]] = field(default_factory=list)

    async def send(self, seconds: float, per_second: float) -> None:
        """Send requests at a constant rate and wait for all responses."""
        rng = random.Random(self.seed)
        numbers = itertools.count()
        async with asyncio.TaskGroup() as tasks:
            for _ in range(int(seconds * per_second)):
                host = rng.choice(list(self.cluster.nodes))
                is_bad = rng.random() < self.bad_fraction
                middle = f"m{rng.randrange(40)}"
                parts = [self.first_part, middle]
                if is_bad:
                    parts[self.bad_position] = rng.choice(self.bad_parts)
                tasks.create_task(self._call(host, parts, next(numbers), is_bad))
                await asyncio.sleep(1.0 / per_second)

    async def _call(
        self, host: str, parts: list[str], number: int, is_bad: bool
    ) -> None:
        now = asyncio.get_running_loop().time()
        prefix = ",".join(f"{part}:100" for part in [*parts, f"own{number}"])
        try:
            status, _ = await self.cluster.call(
                host, b"body %d" % number, "/stream/a", X_Prompt_Prefix=prefix
            )
        except OSError:
            status = 0
        (self.bad if is_bad else self.sound).append((now, status))

    def sound_fraction(self, since: float) -> float:
        """Return the fraction of the sound requests sent later that began."""
        statuses = [status for sent_at, status in self.sound if sent_at > since]
        return statuses.count(200) / len(statuses)
