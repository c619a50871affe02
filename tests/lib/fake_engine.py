"""Stand for a model engine in memory."""

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
    """Hold what the engine is; several clients may share it."""

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
    cut_after: int | None = None
    token_seconds: float = 0.02
    load_seconds: float = 0.25
    crash_prompt: str = ""
    loads: list[float] = field(default_factory=list)

    def restart(self) -> None:
        self.copies.clear()
        self.running.clear()
        self.produced.clear()
        self.fencing = 0


class FakeEngine:
    """Be one client's way to the engine; a cut way loses what is on it."""

    def __init__(self, state: FakeEngineState) -> None:
        self.shared = state
        self.permit_queue = asyncio.Event()
        self.permit_queue.set()
        self.is_cut = False

    async def state(self) -> EngineState:
        await self._reach()
        return EngineState(
            dict(self.shared.copies),
            {k: v for k, v in self.shared.running.items() if v},
        )

    async def load(self, copy: str, path: str, fencing: FencingNumber) -> None:
        await self._reach()
        self._check(fencing)
        if len(self.shared.copies) >= self.shared.slots:
            raise ServerRefusedError("no slot", 409)
        loop = asyncio.get_running_loop()
        self.shared.loads.append(loop.time())
        await asyncio.sleep(self.shared.load_seconds)
        if self.shared.failing_loads > 0:
            self.shared.failing_loads -= 1
            raise ServerRefusedError("failed", 500)
        self.shared.copies[copy] = path

    async def unload(self, copy: str, fencing: FencingNumber) -> None:
        await self._reach()
        self._check(fencing)
        if copy not in self.shared.copies:
            raise ServerRefusedError("not loaded", 404)
        if self.shared.running[copy] > 0:
            self.shared.evicted_in_use += 1
        del self.shared.copies[copy]

    async def generate(self, request: EngineRequest) -> AsyncIterator[EngineTokens]:
        await self._reach()
        if request.copy not in self.shared.copies:
            raise ServerRefusedError("no such model", 404)
        self.shared.runs.append(request.request_id)
        prompt = str(request.parameters.get("prompt", ""))
        if self.shared.crash_prompt and self.shared.crash_prompt in prompt:
            self.shared.restart()
            raise ServerBrokenError("crashed")
        self.shared.running[request.copy] += 1
        self.shared.active.add(request.request_id)
        is_done = False
        try:
            async for tokens in self._words(request, prompt):
                yield tokens
            is_done = True
        finally:
            leave = 0.0 if is_done else self.shared.cancel_seconds
            loop = asyncio.get_running_loop()
            loop.call_later(leave, self._leave, request)

    async def resume(self, request: EngineRequest) -> AsyncIterator[EngineTokens]:
        await self._reach()
        if request.request_id not in self.shared.produced:
            raise ServerRefusedError("no such request", 404)
        prompt = str(request.parameters.get("prompt", ""))
        async for tokens in self._words(request, prompt):
            yield tokens

    async def cancel(self, request_id: RequestId) -> None:
        await self._reach()
        self.shared.cancelled.add(request_id)

    async def is_running(self, request_id: RequestId) -> bool | None:
        await self._reach()
        if request_id not in self.shared.runs:
            return None
        return request_id in self.shared.active

    async def close(self) -> None:
        return

    def _leave(self, request: EngineRequest) -> None:
        """Take a request out of the batch; an abandoned one leaves late."""
        self.shared.running[request.copy] -= 1
        self.shared.active.discard(request.request_id)

    async def _words(
        self, request: EngineRequest, prompt: str
    ) -> AsyncIterator[EngineTokens]:
        count = int(request.parameters.get("max_tokens", 4))
        words = answer_words(request.copy, prompt, count)
        for number in range(request.offset, count):
            await asyncio.sleep(self.shared.token_seconds)
            await self._reach()
            if self.shared.cut_after is not None and number >= self.shared.cut_after:
                self.shared.cut_after = None
                raise ServerBrokenError("cut")
            self.shared.produced[request.request_id] = number + 1
            yield EngineTokens(words[number], 1)
        yield EngineTokens("", 0, "stop", 5)

    async def _reach(self) -> None:
        await asyncio.sleep(0.0005)
        await self.permit_queue.wait()
        if self.shared.is_down or self.is_cut:
            raise ServerUnreachableError("down")

    def _check(self, fencing: FencingNumber) -> None:
        if self.shared.checks_fencing and fencing < self.shared.fencing:
            raise ServerRefusedError("stale", 412)
        self.shared.fencing = max(self.shared.fencing, fencing)
