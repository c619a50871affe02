"""Simulate a model engine in memory."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from gooseberrydeal._internal.exceptions import (
    ServerBrokenError,
    ServerRefusedError,
    ServerUnreachableError,
)
from gooseberrydeal._internal.lab.answer_text import answer_words
from gooseberrydeal._internal.models.engine_request import EngineRequest
from gooseberrydeal._internal.models.engine_state import EngineState
from gooseberrydeal._internal.models.engine_tokens import EngineTokens
from gooseberrydeal._internal.models.ids import FencingNumber, RequestId


@dataclass
class FakeEngineState:
    """Hold an engine's state and faults, shared by the clients of all keepers.

    ``load_starts`` holds the time at which each load began and ``evicted_in_use``
    counts the copies that were unloaded while requests ran on them. A request whose
    stream is abandoned leaves the batch ``cancel_seconds`` later. The next
    ``failing_loads`` loads fail. The first stream that reaches ``cut_after_words``
    words breaks off. A prompt that contains ``crash_prompt`` restarts the engine.
    """

    slots: int = 4
    checks_fencing: bool = True
    copies: dict[str, str] = field(default_factory=dict)
    running: Counter[str] = field(default_factory=Counter)
    runs: list[str] = field(default_factory=list)
    produced: dict[str, int] = field(default_factory=dict)
    cancelled: set[str] = field(default_factory=set)
    active: set[str] = field(default_factory=set)
    cancel_seconds: float = 0.0
    evicted_in_use: int = 0
    fencing: int = 0
    is_down: bool = False
    failing_loads: int = 0
    cut_after_words: int | None = None
    token_seconds: float = 0.02
    load_seconds: float = 0.25
    crash_prompt: str = ""
    load_starts: list[float] = field(default_factory=list)

    def restart(self) -> None:
        """Lose all copies and requests, as a restarted process does."""
        self.copies.clear()
        self.running.clear()
        self.produced.clear()
        self.fencing = 0


class FakeEngine:
    """Simulate one client's connection to the engine.

    Calls wait while ``unpaused`` is cleared and fail while ``is_cut`` is set.
    """

    def __init__(self, state: FakeEngineState) -> None:
        self.shared = state
        self.unpaused = asyncio.Event()
        self.unpaused.set()
        self.is_cut = False

    async def state(self) -> EngineState:
        await self._pass_network()
        return EngineState(
            dict(self.shared.copies),
            {k: v for k, v in self.shared.running.items() if v},
        )

    async def load(self, copy: str, path: str, fencing: FencingNumber) -> None:
        await self._pass_network()
        self._check_fencing(fencing)
        if len(self.shared.copies) >= self.shared.slots:
            raise ServerRefusedError("no free adapter slot", 409)
        loop = asyncio.get_running_loop()
        self.shared.load_starts.append(loop.time())
        await asyncio.sleep(self.shared.load_seconds)
        if self.shared.failing_loads > 0:
            self.shared.failing_loads -= 1
            raise ServerRefusedError("load failed", 500)
        self.shared.copies[copy] = path

    async def unload(self, copy: str, fencing: FencingNumber) -> None:
        await self._pass_network()
        self._check_fencing(fencing)
        if copy not in self.shared.copies:
            raise ServerRefusedError("copy is not loaded", 404)
        if self.shared.running[copy] > 0:
            self.shared.evicted_in_use += 1
        del self.shared.copies[copy]

    async def generate(self, request: EngineRequest) -> AsyncIterator[EngineTokens]:
        await self._pass_network()
        if request.copy not in self.shared.copies:
            raise ServerRefusedError("no such model", 404)
        self.shared.runs.append(request.request_id)
        prompt = str(request.parameters.get("prompt", ""))
        if self.shared.crash_prompt and self.shared.crash_prompt in prompt:
            self.shared.restart()
            raise ServerBrokenError("engine crashed")
        self.shared.running[request.copy] += 1
        self.shared.active.add(request.request_id)
        is_complete = False
        try:
            async for tokens in self._generate_words(request, prompt):
                yield tokens
            is_complete = True
        finally:
            delay = 0.0 if is_complete else self.shared.cancel_seconds
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._finish, request)

    async def resume(self, request: EngineRequest) -> AsyncIterator[EngineTokens]:
        await self._pass_network()
        if request.request_id not in self.shared.produced:
            raise ServerRefusedError("no such request", 404)
        prompt = str(request.parameters.get("prompt", ""))
        async for tokens in self._generate_words(request, prompt):
            yield tokens

    async def cancel(self, request_id: RequestId) -> None:
        await self._pass_network()
        self.shared.cancelled.add(request_id)

    async def is_running(self, request_id: RequestId) -> bool | None:
        await self._pass_network()
        if request_id not in self.shared.runs:
            return None
        return request_id in self.shared.active

    async def close(self) -> None:
        return

    def _finish(self, request: EngineRequest) -> None:
        """Remove a request from the batch."""
        self.shared.running[request.copy] -= 1
        self.shared.active.discard(request.request_id)

    async def _generate_words(
        self, request: EngineRequest, prompt: str
    ) -> AsyncIterator[EngineTokens]:
        count = int(request.parameters.get("max_tokens", 4))
        words = answer_words(request.copy, prompt, count)
        for number in range(request.offset, count):
            await asyncio.sleep(self.shared.token_seconds)
            await self._pass_network()
            if (
                self.shared.cut_after_words is not None
                and number >= self.shared.cut_after_words
            ):
                self.shared.cut_after_words = None
                raise ServerBrokenError("stream cut off")
            self.shared.produced[request.request_id] = number + 1
            yield EngineTokens(words[number], 1)
        yield EngineTokens("", 0, "stop", 5)

    async def _pass_network(self) -> None:
        """Simulate the network: delay, wait while paused, fail if unreachable."""
        await asyncio.sleep(0.0005)
        await self.unpaused.wait()
        if self.shared.is_down or self.is_cut:
            raise ServerUnreachableError("engine is unreachable")

    def _check_fencing(self, fencing: FencingNumber) -> None:
        if self.shared.checks_fencing and fencing < self.shared.fencing:
            raise ServerRefusedError("fencing number is stale", 412)
        self.shared.fencing = max(self.shared.fencing, fencing)
