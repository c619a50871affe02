"""Inject faults into a multi-process deployment under load; check every answer."""

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
from gooseberrydeal._internal.lab.processes.attached import DeploymentClient

_REQUESTS_PER_SECOND: Final = 15.0
_REDEEM_SHARE: Final = 0.1
_ADAPTERS: Final = 30
_TOKENS_PER_REQUEST: Final = 12
_SETTLE_SECONDS: Final = 6.0
_RECOVERY_TIMEOUT_SECONDS: Final = 20.0
_PROBE_INTERVAL_SECONDS: Final = 0.1
_RECOVERY_TARGET_SECONDS: Final = 5.0


@dataclass
class _Tally:
    """Count outcomes of requests; ``wrong`` answers have an unexpected text.

    Keys are the idempotency keys of non-repeatable calls: all that were sent, with
    their bodies, those answered, and those that were last reported as not run.
    ``recovery_seconds`` lists, by fault, the time until requests were served again.
    """

    requests: int = 0
    completed: int = 0
    wrong: int = 0
    truncated: int = 0
    lost: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    answered_keys: dict[str, int] = field(default_factory=dict)
    not_run_keys: set[str] = field(default_factory=set)
    sent_bodies: dict[str, str] = field(default_factory=dict)
    recovery_seconds: dict[str, list[float]] = field(default_factory=dict)


class Soak:
    """Inject faults one at a time under steady load, and verify answers and logs."""

    def __init__(self, path: Path, seed: int, seconds: float) -> None:
        self._deployment = DeploymentClient(path)
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
        """Return the counts; each count of violated guarantees should be 0."""
        await self._deployment.wait_ready()
        began = time.monotonic()
        fault_task = asyncio.create_task(self._inject_faults())
        tasks = []
        while time.monotonic() < began + self._seconds:
            await asyncio.sleep(self._random.expovariate(_REQUESTS_PER_SECOND))
            tasks.append(asyncio.create_task(self._request()))
        fault_task.cancel()
        await asyncio.gather(*tasks)
        await asyncio.sleep(_SETTLE_SECONDS)
        log = await self._deployment.log()
        await self._deployment.close()
        return self._summarize(log)

    async def _request(self) -> None:
        self._tally.requests += 1
        if self._random.random() < _REDEEM_SHARE:
            await self._redeem_with_retries()
            return
        client = self._random.choice(self._deployment.clients)
        name = adapter_name(self._random.randrange(_ADAPTERS))
        prompt = f"p{self._tally.requests}"
        result = await client.complete(name, prompt, tokens=_TOKENS_PER_REQUEST)
        expected = "".join(answer_words(f"{name}@v2", prompt, _TOKENS_PER_REQUEST))
        if result.is_whole:
            self._tally.completed += 1
            self._tally.wrong += int(result.text != expected)
        elif result.reason:
            self._tally.refused[result.reason or "connection"] += 1
            self._tally.wrong += int(not expected.startswith(result.text))
        elif result.status == 0:
            self._tally.refused["connection"] += 1
        else:
            self._tally.truncated += 1

    async def _redeem_with_retries(self) -> None:
        """Send a non-repeatable call, and retry it with the same idempotency key."""
        number = self._tally.requests
        stamp = datetime.now(UTC).strftime("%Y%m%dT%H%M%SZ")
        key = f"{stamp}-soak{self._seed:04d}{number:08d}"
        body = f"redeem {number}"
        self._tally.sent_bodies[key] = body
        last_ran = ""
        for _ in range(3):
            client = self._random.choice(self._deployment.clients)
            result = await client.call(
                PLAIN_SERVICE, "redeem", body, headers={"Idempotency-Key": key}
            )
            last_ran = "yes" if result.is_whole else result.ran
            if result.is_whole:
                self._tally.answered_keys[key] = 1
                self._tally.completed += 1
                return
            await asyncio.sleep(1.0)
        self._tally.refused["redeem"] += 1
        if last_ran == "no":
            self._tally.not_run_keys.add(key)

    async def _inject_faults(self) -> None:
        names = list(self._faults)
        while True:
            self._random.shuffle(names)
            for name in names:
                await asyncio.sleep(2.0)
                began = time.monotonic()
                await self._faults[name]()
                seconds = await self._seconds_until_served(began)
                self._tally.recovery_seconds.setdefault(name, []).append(seconds)
                await self._reset_platform()
                await asyncio.sleep(_SETTLE_SECONDS)

    async def _seconds_until_served(self, began: float) -> float:
        """Return the seconds until consecutive probes succeed, one per entry.

        Give up after 20 seconds.
        """
        successes_in_a_row = 0
        while time.monotonic() < began + _RECOVERY_TIMEOUT_SECONDS:
            client = self._deployment.clients[
                successes_in_a_row % len(self._deployment.clients)
            ]
            name = adapter_name(self._random.randrange(_ADAPTERS))
            result = await client.complete(name, "probe", tokens=2)
            successes_in_a_row = successes_in_a_row + 1 if result.is_whole else 0
            if successes_in_a_row == len(self._deployment.clients):
                break
            await asyncio.sleep(_PROBE_INTERVAL_SECONDS)
        return time.monotonic() - began

    async def _reset_platform(self) -> None:
        await self._deployment.control(
            "/platform", {"is_down": False, "delay_seconds": 0.0, "lost_answers": 0}
        )

    async def _kill_keeper(self) -> None:
        self._signal_random_host("keeper", signal.SIGKILL)

    async def _kill_entry(self) -> None:
        self._signal_random_host("entry", signal.SIGKILL)

    async def _restart_keeper(self) -> None:
        self._signal_random_host("keeper", signal.SIGTERM)

    async def _pause_keeper(self) -> None:
        name = f"keeper-{self._random.choice(self._deployment.description['keepers'])}"
        self._deployment.folder.signal(name, signal.SIGSTOP)
        await asyncio.sleep(8.0)
        self._deployment.folder.signal(name, signal.SIGCONT)

    async def _crash_engine(self) -> None:
        await self._deployment.control(f"/crash/{self._random_engine()}", {})

    async def _platform_down(self) -> None:
        await self._deployment.control("/platform", {"is_down": True})
        await asyncio.sleep(4.0)

    async def _platform_slow(self) -> None:
        await self._deployment.control("/platform", {"delay_seconds": 0.5})
        await asyncio.sleep(4.0)

    async def _lose_answers(self) -> None:
        await self._deployment.control("/platform", {"lost_answers": 3})
        await asyncio.sleep(2.0)

    async def _cut_streams(self) -> None:
        await self._deployment.control(
            f"/faults/{self._random_engine()}", {"cut_streams": 5}
        )

    async def _silence_streams(self) -> None:
        await self._deployment.control(
            f"/faults/{self._random_engine()}", {"silent_streams": 3}
        )

    async def _cross_answers(self) -> None:
        await self._deployment.control(
            f"/faults/{self._random_engine()}", {"crossed_answers": 3}
        )

    async def _fail_loads(self) -> None:
        await self._deployment.control(
            f"/faults/{self._random_engine()}", {"failing_loads": 2}
        )

    def _random_engine(self) -> str:
        return str(self._random.choice(sorted(self._deployment.description["engines"])))

    def _signal_random_host(self, role: str, number: signal.Signals) -> None:
        listed = "keepers" if role == "keeper" else "entry_names"
        name = self._random.choice(self._deployment.description[listed])
        self._deployment.folder.signal(f"{role}-{name}", number)

    def _summarize(self, log: dict[str, Any]) -> dict[str, Any]:
        tally = self._tally
        runs_by_body: Counter[str] = Counter()
        for bookings in log["services"].values():
            runs_by_body.update(bookings)
        run_repeatedly = sum(1 for count in runs_by_body.values() if count > 1)
        reported_not_run_but_ran = sum(
            1
            for key in tally.not_run_keys
            if runs_by_body[f'"{tally.sent_bodies[key]}"']
        )
        answered_but_not_run = sum(
            1
            for key in tally.answered_keys
            if not runs_by_body[f'"{tally.sent_bodies[key]}"']
        )
        times = [t for listed in tally.recovery_seconds.values() for t in listed]
        violations = {
            "wrong_or_mixed": tally.wrong,
            "silently_short": tally.truncated,
            "doubled": run_repeatedly,
            "said_not_run_but_ran": reported_not_run_but_ran,
            "answered_but_not_run": answered_but_not_run,
            "evicted_in_use": sum(e["evicted_in_use"] for e in log["engines"].values()),
            "fetches_over_rate": log["refused_fetches"],
        }
        p95 = Quantiles(times).at(95)
        return {
            "scenario": "soak",
            "seed": self._seed,
            "requests": tally.requests,
            "whole": tally.completed,
            "refused": dict(tally.refused),
            "faults": {k: len(v) for k, v in tally.recovery_seconds.items()},
            "seconds_to_serve": {
                name: [round(t, 2) for t in listed]
                for name, listed in tally.recovery_seconds.items()
            },
            "p95_seconds_to_serve": p95,
            "target_seconds": _RECOVERY_TARGET_SECONDS,
            **violations,
            "met": not any(violations.values()) and p95 <= _RECOVERY_TARGET_SECONDS,
        }
