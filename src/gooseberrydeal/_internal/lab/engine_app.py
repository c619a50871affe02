"""Serve a stand-in for a model engine with an OpenAI-compatible HTTP API."""

import asyncio
import json
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Final

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from gooseberrydeal._internal.lab.answer_text import answer_words
from gooseberrydeal._internal.lab.engine_events import (
    error_response,
    models_body,
    token_event,
    token_limit,
    usage_event,
)
from gooseberrydeal._internal.lab.engine_faults import EngineFaults
from gooseberrydeal._internal.lab.engine_log import EngineLog, RunRecord
from gooseberrydeal._internal.lab.engine_model import EngineModel
from gooseberrydeal._internal.lab.engine_run import EngineRun, evict_finished_runs
from gooseberrydeal._internal.utils.tasks import TaskOwner

_STALL_SECONDS: Final = 3600.0
_TOKENS_BEFORE_FAULT: Final = 2
_RESUME_TIMEOUT_SECONDS: Final = 20.0

Fetch = Callable[[str], Awaitable[bool]]


class EngineApp:
    """Simulate continuous batching, adapter loading and resumable streams."""

    def __init__(
        self,
        name: str,
        model: EngineModel,
        fetch: Fetch,
        *,
        checks_fencing: bool = False,
        on_crash: Callable[[], None] | None = None,
    ) -> None:
        self._name = name
        self._model = model
        self._fetch = fetch
        self._checks_fencing = checks_fencing
        self._on_crash = on_crash
        self._faults = EngineFaults()
        self._log = EngineLog()
        self._copies: dict[str, str] = {}
        self._loading: set[str] = set()
        self._running: Counter[str] = Counter()
        self._batch_queue: list[tuple[int, int, asyncio.Event]] = []
        self._queue_sequence = 0
        self._fencing_number = 0
        self._runs: dict[str, EngineRun] = {}
        self._tasks = TaskOwner()

    @property
    def faults(self) -> EngineFaults:
        """Return the faults to inject."""
        return self._faults

    @property
    def log(self) -> EngineLog:
        """Return the counters and runs recorded so far."""
        return self._log

    @property
    def copies(self) -> dict[str, str]:
        """Return the weight path of each loaded adapter copy, by copy name."""
        return self._copies

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/v1/models", self._models),
                Route("/load", self._server_load),
                Route("/health", self._health),
                Route("/v1/load_lora_adapter", self._load, methods=["POST"]),
                Route("/v1/unload_lora_adapter", self._unload, methods=["POST"]),
                Route("/v1/completions", self._complete, methods=["POST"]),
                Route("/v1/chat/completions", self._chat, methods=["POST"]),
                Route("/v1/responses/{id}", self._resume, methods=["GET"]),
                Route("/v1/responses/{id}/cancel", self._cancel, methods=["POST"]),
            ]
        )

    async def restart(self) -> None:
        """Drop all loaded adapters, runs and fencing state, as a crash does."""
        await self._tasks.stop()
        self._copies.clear()
        self._loading.clear()
        self._running.clear()
        self._batch_queue.clear()
        self._runs.clear()
        self._fencing_number = 0

    async def _health(self, request: Request) -> Response:
        return JSONResponse({"status": "ok"})

    async def _models(self, request: Request) -> Response:
        return JSONResponse(models_body(self._copies))

    async def _server_load(self, request: Request) -> Response:
        running = {copy: count for copy, count in self._running.items() if count}
        return JSONResponse(
            {
                "server_load": sum(running.values()) + len(self._batch_queue),
                "running_lora_adapters": running,
            }
        )

    async def _load(self, request: Request) -> Response:
        if self._is_fenced_off(request):
            return error_response(412, "the order has an old fencing number")
        body = await request.json()
        copy, path = str(body["lora_name"]), str(body["lora_path"])
        if copy in self._copies:
            return error_response(400, f"{copy} is already loaded")
        if len(self._copies) + len(self._loading) >= self._model.adapter_slots:
            return error_response(409, "no adapter slot is free")
        self._loading.add(copy)
        try:
            is_fetched = await self._fetch(path)
        finally:
            self._loading.discard(copy)
        if not is_fetched or self._faults.failing_loads > 0 or self._is_broken(copy):
            self._faults.failing_loads = max(0, self._faults.failing_loads - 1)
            self._log.failed_loads += 1
            return error_response(500, f"{copy} could not be loaded")
        self._copies[copy] = path
        self._log.loads += 1
        return JSONResponse({"loaded": copy})

    async def _unload(self, request: Request) -> Response:
        if self._is_fenced_off(request):
            return error_response(412, "the order has an old fencing number")
        copy = str((await request.json())["lora_name"])
        if copy not in self._copies:
            return error_response(404, f"{copy} is not loaded")
        if self._running[copy] > 0:
            self._log.evicted_in_use += 1
        del self._copies[copy]
        self._log.unloads += 1
        return JSONResponse({"unloaded": copy})

    async def _complete(self, request: Request) -> Response:
        body = await request.json()
        return self._start(request, body, str(body.get("prompt", "")), is_chat=False)

    async def _chat(self, request: Request) -> Response:
        body = await request.json()
        prompt = json.dumps(body.get("messages", []), sort_keys=True)
        return self._start(request, body, prompt, is_chat=True)

    def _start(
        self, request: Request, body: dict[str, Any], prompt: str, *, is_chat: bool
    ) -> Response:
        copy = str(body.get("model"))
        if copy not in self._copies:
            return error_response(404, f"the model {copy} does not exist")
        request_id = request.headers.get("x-request-id", "none")
        if self._faults.crash_word in prompt:
            self._log.runs.append(RunRecord(request_id, copy, self._name))
            if self._on_crash is not None:
                self._on_crash()
            return error_response(500, "the engine is crashing")
        run = EngineRun(copy, is_chat, answer_words(copy, prompt, token_limit(body)))
        evict_finished_runs(self._runs)
        self._runs[request_id] = run
        self._log.runs.append(RunRecord(request_id, copy, self._name))
        self._running[copy] += 1
        priority = int(body.get("priority", 0))
        self._tasks.start(self._generate(run, priority), f"run {request_id}")
        return self._stream(request_id, run, 0)

    async def _resume(self, request: Request) -> Response:
        request_id = request.path_params["id"]
        run = self._runs.get(request_id)
        if run is None:
            return error_response(404, "no such request")
        if request.query_params.get("stream") != "true":
            return JSONResponse(
                {"status": "completed" if run.has_left_batch else "in_progress"}
            )
        if run.is_cancelled:
            return error_response(404, "the request was cancelled")
        offset = int(request.query_params.get("starting_after", 0))
        return self._stream(request_id, run, offset)

    async def _cancel(self, request: Request) -> Response:
        run = self._runs.get(request.path_params["id"])
        if run is None:
            return error_response(404, "no such request")
        run.is_cancelled = True
        run.notify_readers()
        return JSONResponse({"status": "cancelled"})

    async def _generate(self, run: EngineRun, priority: int) -> None:
        try:
            await self._enter_batch(priority)
            if run.is_cancelled:
                return
            await asyncio.sleep(self._model.prefill_seconds * self._faults.slowdown)
            while not run.is_done:
                run.produced += 1
                self._log.tokens += 1
                if run.is_done:
                    return
                run.notify_readers()
                await asyncio.sleep(self._token_interval())
        finally:
            self._running[run.copy] -= 1
            run.has_left_batch = True
            self._leave_batch()
            run.notify_readers()

    def _token_interval(self) -> float:
        adapters = sum(1 for count in self._running.values() if count > 0)
        running = min(self._model.concurrency, sum(self._running.values()))
        return self._model.token_time(running, adapters) * self._faults.slowdown

    async def _enter_batch(self, priority: int) -> None:
        if sum(self._running.values()) <= self._model.concurrency:
            return
        self._queue_sequence += 1
        admitted = asyncio.Event()
        self._batch_queue.append((priority, self._queue_sequence, admitted))
        self._batch_queue.sort(key=lambda item: item[:2])
        await admitted.wait()

    def _leave_batch(self) -> None:
        if self._batch_queue:
            self._batch_queue.pop(0)[2].set()

    def _stream(self, request_id: str, run: EngineRun, offset: int) -> Response:
        return StreamingResponse(
            self._events(request_id, run, offset), media_type="text/event-stream"
        )

    async def _events(
        self, request_id: str, run: EngineRun, offset: int
    ) -> AsyncIterator[bytes]:
        response_id = request_id
        if self._faults.crossed_answers > 0:
            self._faults.crossed_answers -= 1
            response_id = "another-request"
        is_cut = self._faults.cut_streams > 0
        is_silent = self._faults.silent_streams > 0
        self._faults.cut_streams -= int(is_cut)
        self._faults.silent_streams -= int(is_silent)
        sent = offset
        run.readers += 1
        keeps_run = False
        try:
            while True:
                while sent < run.produced:
                    if sent - offset >= _TOKENS_BEFORE_FAULT and (is_cut or is_silent):
                        keeps_run = True
                        if is_cut:
                            return
                        await asyncio.sleep(_STALL_SECONDS)
                    sent += 1
                    yield token_event(response_id, run, run.words[sent - 1], "")
                if run.is_done:
                    break
                await run.changed.wait()
            yield token_event(response_id, run, "", "stop")
            yield usage_event(response_id, run)
            yield b"data: [DONE]\n\n"
            keeps_run = True
        finally:
            if not keeps_run and not run.is_done:
                self._tasks.start(self._cancel_unless_resumed(run), "abandoned run")

    async def _cancel_unless_resumed(self, run: EngineRun) -> None:
        """Cancel a run whose stream is not resumed within the timeout."""
        run.readers -= 1
        await asyncio.sleep(_RESUME_TIMEOUT_SECONDS)
        if run.readers <= 0 and not run.is_done:
            run.is_cancelled = True
            run.notify_readers()

    def _is_fenced_off(self, request: Request) -> bool:
        """Count stale fencing numbers; return whether to reject the request."""
        number = int(request.headers.get("x-fencing-number", 0))
        if number < self._fencing_number:
            self._log.stale_orders += 1
            return self._checks_fencing
        self._fencing_number = number
        return False

    def _is_broken(self, copy: str) -> bool:
        return copy.partition("~")[0] in self._faults.broken_copies
