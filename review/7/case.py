"""Let an engine spoil a few answers, and count whose connection ends without an answer."""

import asyncio
import itertools
import random
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins_2.client import Connection  # noqa: E402
from stand_ins_2.deployment import (  # noqa: E402
    HOST,
    CouldNotRun,
    Deployment,
    has_trouble,
    model_service,
    play,
    route,
)
from stand_ins_2.engines import ModelEngine  # noqa: E402
from stand_ins_2.messages import Message  # noqa: E402

ROUTERS, ENGINES, FAULTY, SLOTS, PLACES = 4, 12, 6, 16, 8
ADAPTERS, CLIENTS = 250, 100
LASTS_SECONDS = 95.0
# Half of the engines spoil so much of their answers for so long, then pause.
MAX_SPOILED_SHARE, GARBLE_SECONDS, PAUSE_SECONDS = 0.022, 5.5, 1.5
# An adapter takes 250 ms, and longer while many are on their way from the store.
LOAD_SECONDS = (0.25, 0.4)
MAX_LOST = 3
MIN_SERVED = 200


class SpoilingEngine(ModelEngine):
    """Hand out wrong bytes: the last figure of the load loses its first digit."""

    events, event_seconds = 10, 0.04

    def __init__(self, *arguments, is_faulty: bool, rng: random.Random) -> None:
        super().__init__(*arguments)
        self.is_faulty = is_faulty
        self.arrivals: set[str] = set()
        self.answered = self.spoiled = 0
        self._rng = rng
        self._began = time.monotonic()

    @property
    def load_seconds(self) -> float:
        return self._rng.uniform(*LOAD_SECONDS)

    def _spoils(self) -> bool:
        if not (self.is_faulty and has_trouble()):
            return False
        phase = (time.monotonic() - self._began) % (GARBLE_SECONDS + PAUSE_SECONDS)
        is_due = self.spoiled + 1 <= MAX_SPOILED_SHARE * (self.answered + 1)
        return phase < GARBLE_SECONDS and is_due

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        if request.path not in ("/-/report", "/-/order"):
            self.arrivals.add(request.fields.get("x-request-id", ""))
        return await super().answer(request, writer)

    async def stream(self, request_id, fields, writer) -> None:
        if self._spoils():
            self.spoiled += 1
            # "7,0,128,100" becomes "7,0,128,00".
            load, _, figure = fields["X-Instance-Load"].rpartition(",")
            fields = fields | {"X-Instance-Load": f"{load},{figure[1:]}"}
        self.answered += 1
        await super().stream(request_id, fields, writer)


async def scenario(deployment: Deployment) -> bool:
    store, record = deployment.store, deployment.record
    rng = random.Random(8)
    engines = [
        SpoilingEngine(
            store, f"i-{n}", "advisor", "z1", SLOTS, PLACES, is_faulty=n <= FAULTY, rng=rng
        )
        for n in range(1, ENGINES + 1)
    ]
    streams = route(
        "streams",
        "/fit/",
        "advisor",
        kind="streaming",
        timeoutMs=10000,
        targetLatencyMs=800,
        gapAimMs=400,
        resumable=False,
    )
    deployment.configure(1, [streams], [model_service("advisor", SLOTS, PLACES)])
    for engine in engines:
        await engine.start()
    await deployment.start_routers(ROUTERS)
    began, numbers = time.monotonic(), itertools.count(1)
    ended: Counter[str] = Counter()
    lost: list[str] = []

    async def client(which: int) -> None:
        """Send one request after the other; open a new connection after a loss."""
        router = deployment.routers[which % ROUTERS]
        while time.monotonic() - began < LASTS_SECONDS:
            connection, on_it = Connection(router.front), 0
            while connection.is_open and time.monotonic() - began < LASTS_SECONDS:
                number = next(numbers)
                fields = {
                    "Host": HOST,
                    "X-Request-Id": f"s{number}",
                    "X-Model": f"m/a{rng.randint(1, ADAPTERS)}",
                    "X-Token-Counts": "300,80",
                    "X-Prompt-Prefix": f"5c1e07a2:150,{number:x}:150",
                    "X-Deadline-Ms": "10000",
                }
                answer = await connection.call(
                    "POST", f"/fit/{number}", fields, b"prompt", 12.0
                )
                reached = [e.id for e in engines if f"s{number}" in e.arrivals]
                sound = [e.id for e in engines if e.id in reached and not e.is_faulty]
                record.note(
                    f"s{number}, request {on_it} on a connection to {router.name}:"
                    f" status {answer.status} {answer.problem} reached {reached}"
                )
                ended[f"{answer.status} {answer.problem[:24]}"] += 1
                if not answer.status and on_it and sound:
                    lost.append(f"s{number}")
                on_it += 1
                await asyncio.sleep(rng.uniform(0.0, 0.5))
            connection.close()

    await asyncio.gather(*(client(number) for number in range(CLIENTS)))
    record.note(f"requests by the status of their answer: {dict(ended)}")
    for engine in engines:
        record.note(
            f"{engine.id}: {len(engine.arrivals)} requests arrived, {len(engine.runs)}"
            f" ran, {engine.spoiled} of {engine.answered} answers were spoiled"
        )
    record.note(
        f"{len(lost)} requests from kept connections were passed on to a sound engine,"
        f" and their connection was closed without an answer: {' '.join(lost)}"
    )
    if sum(n for status, n in ended.items() if status.startswith("200")) < MIN_SERVED:
        raise CouldNotRun("too few requests were served")
    return len(lost) <= MAX_LOST


play(Path(__file__).resolve().parent, scenario, 112.0)
