"""Break a deployment of separate processes under load, and check every answer."""

import asyncio
import random
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, Final

from gooseberrydeal._internal.lab.answer_text import answer_words
from gooseberrydeal._internal.lab.bench.quantiles import Quantiles
from gooseberrydeal._internal.lab.lab_configuration import PLAIN_SERVICE, adapter_name
from gooseberrydeal._internal.lab.processes.attached import Attached

_RATE: Final = 15.0
_REDEEM_SHARE: Final = 0.1
_ADAPTERS: Final = 30
_TOKENS: Final = 12
_PAUSE_SECONDS: Final = 6.0
_SERVED_SECONDS: Final = 20.0
_PROBE_SECONDS: Final = 0.1
_TARGET_SECONDS: Final = 5.0


@dataclass
class _Tally:
    requests: int = 0
    whole: int = 0
    wrong: int = 0
    short: int = 0
    lost: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    answered_keys: dict[str, int] = field(default_factory=dict)
    not_run_keys: set[str] = field(default_factory=set)
    sent_keys: dict[str, str] = field(default_factory=dict)
    recovery: dict[str, list[float]] = field(default_factory=dict)


class Soak:
    """Send requests steadily, inject one fault after the other, and compare logs."""

    def __init__(self, path: Path, seed: int, seconds: float) -> None:
        self._attached = Attached(path)
        self._random = random.Random(seed)
        self._seed = seed
        self._seconds = seconds
        self._tally = _Tally()
        self._faults: dict[str, Callable[[], Awaitable[None]]] = {
            "keeper_killed": self._kill_keeper,
            "entry_killed": self._kill_entry,
            "keeper_paused": self._pause_keeper,
            "keeper_restarted": self._restart_keeper,
            "engine_crashed": self._crash_engine,
            "platform_down": self._platform_down,
            "platform_slow": self._platform_slow,
            "answers_lost": self._lose_answers,
            "streams_cut": self._cut_streams,
            "streams_silent": self._silence_streams,
            "answers_crossed": self._cross_answers,
            "loads_failing": self._fail_loads,
        }

    async def run(self) -> dict[str, Any]:
        """Return the counts; all of those that break a promise should be 0."""
        await self._attached.wait_ready()
        began = time.monotonic()
        breaking = asyncio.create_task(self._break())
        tasks = []
        while time.monotonic() < began + self._seconds:
            await asyncio.sleep(self._random.expovariate(_RATE))
            tasks.append(asyncio.create_task(self._request()))
        breaking.cancel()
        await asyncio.gather(*tasks)
        await asyncio.sleep(_PAUSE_SECONDS)
        log = await self._attached.log()
        await self._attached.close()
        return self._result(log)

    async def _request(self) -> None:
        self._tally.requests += 1
        if self._random.random() < _REDEEM_SHARE:
            await self._redeem()
            return
        client = self._random.choice(self._attached.clients)
        name = adapter_name(self._random.randrange(_ADAPTERS))
        prompt = f"p{self._tally.requests}"
        result = await client.complete(name, prompt, tokens=_TOKENS)
        expected = "".join(answer_words(f"{name}@v2", prompt, _TOKENS))
        if result.is_whole:
            self._tally.whole += 1
            self._tally.wrong += int(result.text != expected)
        elif result.reason:
            self._tally.refused[result.reason or "connection"] += 1
            self._tally.wrong += int(not expected.startswith(result.text))
        elif result.status == 0:
            self._tally.refused["connection"] += 1
        else:
            self._tally.short += 1

    async def _redeem(self) -> None:
        """Send a call that must not be repeated, and repeat it as a caller does."""
        number = self._tally.requests
        stamp = datetime.now(UTC).strftime("%Y%m%dT%H%M%SZ")
        key = f"{stamp}-soak{self._seed:04d}{number:08d}"
        body = f"redeem {number}"
        self._tally.sent_keys[key] = body
        last_ran = ""
        for _ in range(3):
            client = self._random.choice(self._attached.clients)
            result = await client.call(
                PLAIN_SERVICE, "redeem", body, headers={"Idempotency-Key": key}
            )
            last_ran = "yes" if result.is_whole else result.ran
            if result.is_whole:
                self._tally.answered_keys[key] = 1
                self._tally.whole += 1
                return
            await asyncio.sleep(1.0)
        self._tally.refused["redeem"] += 1
        if last_ran == "no":
            self._tally.not_run_keys.add(key)

    async def _break(self) -> None:
        names = list(self._faults)
        while True:
            self._random.shuffle(names)
            for name in names:
                await asyncio.sleep(2.0)
                began = time.monotonic()
                await self._faults[name]()
                seconds = await self._until_served(began)
                self._tally.recovery.setdefault(name, []).append(seconds)
                await self._heal()
                await asyncio.sleep(_PAUSE_SECONDS)

    async def _until_served(self, began: float) -> float:
        """Return the seconds until three requests in a row are answered again."""
        in_a_row = 0
        while time.monotonic() < began + _SERVED_SECONDS:
            client = self._attached.clients[in_a_row % len(self._attached.clients)]
            name = adapter_name(self._random.randrange(_ADAPTERS))
            result = await client.complete(name, "probe", tokens=2)
            in_a_row = in_a_row + 1 if result.is_whole else 0
            if in_a_row == len(self._attached.clients):
                break
            await asyncio.sleep(_PROBE_SECONDS)
        return time.monotonic() - began

    async def _heal(self) -> None:
        await self._attached.control(
            "/platform", {"is_down": False, "delay_seconds": 0.0, "lost_answers": 0}
        )

    async def _kill_keeper(self) -> None:
        self._signal("keeper", signal.SIGKILL)

    async def _kill_entry(self) -> None:
        self._signal("entry", signal.SIGKILL)

    async def _restart_keeper(self) -> None:
        self._signal("keeper", signal.SIGTERM)

    async def _pause_keeper(self) -> None:
        name = f"keeper-{self._random.choice(self._attached.about['keepers'])}"
        self._attached.folder.signal(name, signal.SIGSTOP)
        await asyncio.sleep(8.0)
        self._attached.folder.signal(name, signal.SIGCONT)

    async def _crash_engine(self) -> None:
        await self._attached.control(f"/crash/{self._engine()}", {})

    async def _platform_down(self) -> None:
        await self._attached.control("/platform", {"is_down": True})
        await asyncio.sleep(4.0)

    async def _platform_slow(self) -> None:
        await self._attached.control("/platform", {"delay_seconds": 0.5})
        await asyncio.sleep(4.0)

    async def _lose_answers(self) -> None:
        await self._attached.control("/platform", {"lost_answers": 3})
        await asyncio.sleep(2.0)

    async def _cut_streams(self) -> None:
        await self._attached.control(f"/faults/{self._engine()}", {"cut_streams": 5})

    async def _silence_streams(self) -> None:
        await self._attached.control(f"/faults/{self._engine()}", {"silent_streams": 3})

    async def _cross_answers(self) -> None:
        await self._attached.control(
            f"/faults/{self._engine()}", {"crossed_answers": 3}
        )

    async def _fail_loads(self) -> None:
        await self._attached.control(f"/faults/{self._engine()}", {"failing_loads": 2})

    def _engine(self) -> str:
        return str(self._random.choice(sorted(self._attached.about["engines"])))

    def _signal(self, role: str, number: signal.Signals) -> None:
        listed = "keepers" if role == "keeper" else "entry_names"
        name = self._random.choice(self._attached.about[listed])
        self._attached.folder.signal(f"{role}-{name}", number)

    def _result(self, log: dict[str, Any]) -> dict[str, Any]:
        tally = self._tally
        booked: Counter[str] = Counter()
        for bookings in log["services"].values():
            booked.update(bookings)
        doubled = sum(1 for count in booked.values() if count > 1)
        said_not_run = sum(
            1 for key in tally.not_run_keys if booked[f'"{tally.sent_keys[key]}"']
        )
        not_booked = sum(
            1 for key in tally.answered_keys if not booked[f'"{tally.sent_keys[key]}"']
        )
        times = [t for listed in tally.recovery.values() for t in listed]
        promises = {
            "wrong_or_mixed": tally.wrong,
            "silently_short": tally.short,
            "doubled": doubled,
            "said_not_run_but_ran": said_not_run,
            "answered_but_not_run": not_booked,
            "evicted_in_use": sum(e["evicted_in_use"] for e in log["engines"].values()),
            "fetches_over_rate": log["refused_fetches"],
        }
        p95 = Quantiles(times).at(95)
        return {
            "scenario": "soak",
            "seed": self._seed,
            "requests": tally.requests,
            "whole": tally.whole,
            "refused": dict(tally.refused),
            "faults": {k: len(v) for k, v in tally.recovery.items()},
            "seconds_to_serve": {
                name: [round(t, 2) for t in listed]
                for name, listed in tally.recovery.items()
            },
            "p95_seconds_to_serve": p95,
            "target_seconds": _TARGET_SECONDS,
            **promises,
            "met": not any(promises.values()) and p95 <= _TARGET_SECONDS,
        }
