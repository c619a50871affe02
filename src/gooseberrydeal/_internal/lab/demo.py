"""Run a whole deployment and check the answers that callers receive."""

import asyncio
import random
from collections import Counter
from datetime import UTC, datetime
from typing import Final

from rich.console import Console
from rich.table import Table

from gooseberrydeal._internal.lab.answer_text import answer_words
from gooseberrydeal._internal.lab.lab_client import CallResult, LabClient
from gooseberrydeal._internal.lab.lab_cluster import LabCluster
from gooseberrydeal._internal.lab.lab_configuration import (
    CALLER_KEY,
    PLAIN_SERVICE,
    adapter_name,
)
from gooseberrydeal._internal.lab.lab_plan import LabPlan

_REQUEST_COUNT: Final = 300
_ADAPTER_COUNT: Final = 16
_TOKENS_PER_ANSWER: Final = 12
_SEED: Final = 7
_REQUESTS_PER_SECOND: Final = 30.0
_PERCENT: Final = 100


class Demo:
    """Send a few hundred completions and verify each answer."""

    def __init__(self) -> None:
        self._cluster = LabCluster(LabPlan(name="demo", short_deadline_seconds=10.0))
        self._console = Console()
        self._random = random.Random(_SEED)
        self._results: list[CallResult] = []
        self._wrong_answers = 0
        self._refusals: Counter[str] = Counter()

    async def run(self, *, keep: bool) -> bool:
        """Return whether each answer was complete and from the requested version.

        A call that must not be repeated must also have run exactly once.
        """
        self._console.print("starting platform, 9 engines, 3 plain servers, 3 hosts")
        await self._cluster.start()
        try:
            return await self._send_and_check(keep=keep)
        finally:
            await self._cluster.stop()

    async def _send_and_check(self, *, keep: bool) -> bool:
        clients = [LabClient(url) for url in self._cluster.entry_urls]
        first_engine = next(iter(self._cluster.engines.values()))
        first_engine.app.faults.failing_loads = 1
        self._console.print(f"sending {_REQUEST_COUNT} completions")
        await self._send_completions(clients)
        ran_once = await self._send_duplicate_call(clients)
        self._print_report(ran_once=ran_once)
        if keep:
            await self._wait_for_interrupt()
        for client in clients:
            await client.close()
        complete_answers = sum(1 for result in self._results if result.is_whole)
        return (
            self._wrong_answers == 0 and complete_answers == _REQUEST_COUNT and ran_once
        )

    async def _send_completions(self, clients: list[LabClient]) -> None:
        tasks = []
        for number in range(_REQUEST_COUNT):
            client = clients[number % len(clients)]
            tasks.append(asyncio.create_task(self._send_completion(client, number)))
            await asyncio.sleep(self._random.expovariate(_REQUESTS_PER_SECOND))
        await asyncio.gather(*tasks)

    async def _send_completion(self, client: LabClient, number: int) -> None:
        rank = min(int(self._random.paretovariate(0.9)), _ADAPTER_COUNT) - 1
        version = "v1" if number % 5 == 0 else "v2"
        name = adapter_name(rank)
        prompt = f"question {number}"
        result = await client.complete(
            f"{name}@{version}", prompt, tokens=_TOKENS_PER_ANSWER
        )
        self._results.append(result)
        expected = "".join(
            answer_words(f"{name}@{version}", prompt, _TOKENS_PER_ANSWER)
        )
        if result.status == 200 and result.text != expected:  # noqa: PLR2004
            self._wrong_answers += 1
        if result.reason:
            self._refusals[result.reason] += 1

    async def _send_duplicate_call(self, clients: list[LabClient]) -> bool:
        """Send one non-repeatable call through two entries with the same key.

        Return whether both calls succeeded and the service ran the call once.
        """
        timestamp = datetime.now(UTC).strftime("%Y%m%dT%H%M%SZ")
        headers = {
            "Idempotency-Key": f"{timestamp}-demo{self._random.randrange(10**9):09d}"
        }
        body = {"bond": "B-1", "cents": 1000}
        first = await clients[0].call(PLAIN_SERVICE, "redeem", body, headers=headers)
        await asyncio.sleep(0.2)
        second = await clients[1].call(PLAIN_SERVICE, "redeem", body, headers=headers)
        booking_count = sum(
            sum(service.bookings.values())
            for service in self._cluster.services.values()
        )
        return first.is_whole and second.is_whole and booking_count == 1

    def _print_report(self, *, ran_once: bool) -> None:
        table = Table(title="demo")
        table.add_column("measure")
        table.add_column("value", justify="right")
        first_token_seconds = sorted(
            r.first_seconds for r in self._results if r.first_seconds
        )
        weights = self._cluster.platform.weights
        rows = {
            "requests": len(self._results),
            "whole answers": sum(1 for r in self._results if r.is_whole),
            "answers of a wrong adapter or version": self._wrong_answers,
            "adapter loads": weights.fetches,
            "fetches over the store's rate": weights.refused,
            "not-repeatable call booked once": "yes" if ran_once else "NO",
            "p50 first token, ms": _percentile_milliseconds(first_token_seconds, 50),
            "p99 first token, ms": _percentile_milliseconds(first_token_seconds, 99),
        }
        for name, value in rows.items():
            table.add_row(name, str(value))
        for reason, count in self._refusals.items():
            table.add_row(f"refused: {reason}", str(count))
        self._console.print(table)

    async def _wait_for_interrupt(self) -> None:
        url = self._cluster.entry_urls[0]
        self._console.print(
            f"curl -N {url}/v1/completions -H 'Authorization: Bearer {CALLER_KEY}' "
            f"-H 'Content-Type: application/json' -d "
            '\'{"model": "first", "prompt": "hello", "stream": true}\'',
            soft_wrap=True,
        )
        self._console.print("press Ctrl-C to end")
        await asyncio.Event().wait()


def _percentile_milliseconds(sorted_seconds: list[float], percent: int) -> str:
    if not sorted_seconds:
        return "-"
    index = min(len(sorted_seconds) - 1, len(sorted_seconds) * percent // _PERCENT)
    return f"{sorted_seconds[index] * 1000:.1f}"
