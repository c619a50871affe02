"""Serve the HTTP API for callers."""

import asyncio
import logging
from collections.abc import AsyncGenerator, Awaitable, Callable
from typing import Final
from uuid import uuid4

from starlette.applications import Starlette
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from gooseberrydeal._internal.models.answer_events import (
    AnswerEnd,
    AnswerEvent,
    AnswerPlain,
    AnswerRefused,
    AnswerText,
)
from gooseberrydeal._internal.models.configuration import Configuration
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.work_order import WorkOrder
from gooseberrydeal._internal.operations.entry.caller_auth import CallerAuth, matches
from gooseberrydeal._internal.operations.entry.disconnect import wait_for_disconnect
from gooseberrydeal._internal.operations.entry.entry_context import EntryContext
from gooseberrydeal._internal.operations.entry.in_progress import InProgressCounter
from gooseberrydeal._internal.operations.entry.model_request import ModelRequest
from gooseberrydeal._internal.operations.entry.order_builder import OrderBuilder
from gooseberrydeal._internal.operations.entry.plain_calls import PlainCalls
from gooseberrydeal._internal.operations.entry.refused_error import RefusedError
from gooseberrydeal._internal.operations.entry.responses import (
    REQUEST_ID_HEADER,
    AnswerWriter,
    refusal_response,
    stream_events,
)
from gooseberrydeal._internal.operations.entry.work_runner import WorkRunner

logger = logging.getLogger(__name__)

IDEMPOTENCY_HEADER: Final = "idempotency-key"

Handler = Callable[[Request], Awaitable[Response]]


class CallerApi:
    """Serve OpenAI-compatible completions and the operations of plain services."""

    def __init__(
        self,
        context: EntryContext,
        auth: CallerAuth,
        orders: OrderBuilder,
        runner: WorkRunner,
        plain_calls: PlainCalls,
        current_refusal: Callable[[], Refusal | None],
    ) -> None:
        self._context = context
        self._auth = auth
        self._orders = orders
        self._runner = runner
        self._plain_calls = plain_calls
        self._current_refusal = current_refusal
        self._in_progress = InProgressCounter()

    @property
    def requests(self) -> InProgressCounter:
        """Return the counter of requests in progress."""
        return self._in_progress

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/v1/models", self._guard(self._list_models)),
                Route(
                    "/v1/completions", self._guard(self._completion), methods=["POST"]
                ),
                Route(
                    "/v1/chat/completions", self._guard(self._chat), methods=["POST"]
                ),
                Route(
                    "/services/{service}/{operation}",
                    self._guard(self._call_plain_service),
                    methods=["POST"],
                ),
                Route("/ready", self._readiness),
            ]
        )

    def _guard(self, handler: Handler) -> Handler:
        """Wrap a handler to count its requests and to respond to errors."""

        async def handle(request: Request) -> Response:
            self._in_progress.begin()
            response: Response | None = None
            try:
                response = await handler(request)
            except RefusedError as error:
                response = self._refuse(error.refusal, uuid4().hex)
            except ClientDisconnect:
                response = Response(status_code=400)
            finally:
                if not isinstance(response, StreamingResponse):
                    self._in_progress.end()
            return response

        return handle

    async def _readiness(self, request: Request) -> Response:
        refusal = self._current_refusal()
        if refusal is not None:
            return JSONResponse({"ready": False, "reason": refusal.reason.value}, 503)
        return JSONResponse({"ready": True})

    async def _list_models(self, request: Request) -> Response:
        configuration = self._require_configuration()
        caller = self._auth.authenticate(request, configuration)
        allowed_names = [
            name
            for name in configuration.model_names()
            if self._is_allowed(caller.adapters, name, configuration)
        ]
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "gooseberrydeal"}
            for name in allowed_names
        ]
        return JSONResponse({"object": "list", "data": data})

    def _is_allowed(
        self, allowed_patterns: tuple[str, ...], name: str, configuration: Configuration
    ) -> bool:
        alias = configuration.alias(name) if name not in allowed_patterns else None
        target = alias.adapter if alias is not None else name
        return matches(target, allowed_patterns)

    async def _completion(self, request: Request) -> Response:
        return await self._generate(request, is_chat=False)

    async def _chat(self, request: Request) -> Response:
        return await self._generate(request, is_chat=True)

    async def _generate(self, request: Request, *, is_chat: bool) -> Response:
        configuration = self._require_configuration()
        caller = self._auth.authenticate(request, configuration)
        self._auth.check_rate_limit(caller)
        body = await self._auth.read_body(request)
        parsed = ModelRequest.from_body(body, is_chat=is_chat)
        adapter = self._orders.resolve(parsed.model, configuration)
        declared = configuration.adapter(adapter.name)
        service = declared.service if declared is not None else ""
        self._auth.authorise(caller, service, adapter)
        order = self._orders.for_model(request, caller, parsed, adapter, configuration)
        writer = AnswerWriter(
            order.request_id,
            parsed.model,
            int(self._context.clock.wall()),
            is_chat=is_chat,
        )
        return await self._answer(request, order, writer, stream=parsed.stream)

    async def _answer(
        self, request: Request, order: WorkOrder, writer: AnswerWriter, *, stream: bool
    ) -> Response:
        """Run the order and return its answer, or the refusal if it has no answer."""
        started_at = self._context.clock.monotonic()
        events = self._runner.run(order)
        first = await self._first_event(request, events)
        if isinstance(first, AnswerRefused):
            return self._refuse(first.refusal, order.request_id)
        now = self._context.clock.monotonic()
        self._context.metrics.observe_first_token(order.service, now - started_at)
        if stream:
            return StreamingResponse(
                self._stream_response(order, writer, first, events),
                media_type="text/event-stream",
                headers={REQUEST_ID_HEADER: order.request_id},
            )
        return await self._collect_response(order, writer, first, events)

    async def _first_event(
        self, request: Request, events: AsyncGenerator[AnswerEvent, None]
    ) -> AnswerEvent:
        """Return the first event; cancel the request if the caller disconnects."""
        reading = asyncio.ensure_future(anext(events))
        closing = asyncio.ensure_future(wait_for_disconnect(request))
        try:
            await asyncio.wait({reading, closing}, return_when=asyncio.FIRST_COMPLETED)
            if not reading.done():
                raise RefusedError(Refusal(RefusalReason.CANCELLED, Ran.UNKNOWN))
            return reading.result()
        finally:
            closing.cancel()
            if not reading.done():
                reading.cancel()

    async def _stream_response(
        self,
        order: WorkOrder,
        writer: AnswerWriter,
        first: AnswerEvent,
        events: AsyncGenerator[AnswerEvent, None],
    ) -> AsyncGenerator[bytes, None]:
        recorded_events = self._with_recording(order, events)
        try:
            async for data in stream_events(writer, first, recorded_events):
                yield data
        finally:
            await recorded_events.aclose()
            self._in_progress.end()

    async def _with_recording(
        self, order: WorkOrder, events: AsyncGenerator[AnswerEvent, None]
    ) -> AsyncGenerator[AnswerEvent, None]:
        """Yield the events unchanged, recording how the request ended."""
        try:
            async for event in events:
                self._record_outcome(order, event)
                yield event
        finally:
            await events.aclose()

    async def _collect_response(
        self,
        order: WorkOrder,
        writer: AnswerWriter,
        first: AnswerEvent,
        events: AsyncGenerator[AnswerEvent, None],
    ) -> Response:
        parts: list[str] = []
        event: AnswerEvent | None = first
        while isinstance(event, AnswerText):
            parts.append(event.text)
            event = await anext(events, None)
        if isinstance(event, AnswerEnd):
            self._record_outcome(order, event)
            return JSONResponse(
                writer.full_response("".join(parts), event),
                headers={REQUEST_ID_HEADER: order.request_id},
            )
        refusal = Refusal(RefusalReason.STREAM_CUT, Ran.UNKNOWN)
        if isinstance(event, AnswerRefused):
            refusal = event.refusal
        return self._refuse(refusal, order.request_id)

    def _record_outcome(self, order: WorkOrder, event: AnswerEvent) -> None:
        if isinstance(event, AnswerEnd):
            self._context.metrics.count_response(order.service)
            if order.adapter is not None:
                self._orders.note_length(order.adapter, order.work_class, event.tokens)
        elif isinstance(event, AnswerRefused):
            self._context.metrics.count_refusal(event.refusal.reason)

    async def _call_plain_service(self, request: Request) -> Response:
        configuration = self._require_configuration()
        caller = self._auth.authenticate(request, configuration)
        self._auth.check_rate_limit(caller)
        service = request.path_params["service"]
        operation = request.path_params["operation"]
        self._auth.authorise(caller, service, None)
        body = await self._auth.read_body(request)
        order = self._orders.for_plain_call(
            request, caller, service, operation, body, configuration
        )
        event = await self._plain_calls.run(
            order, request.headers.get(IDEMPOTENCY_HEADER)
        )
        if isinstance(event, AnswerPlain):
            self._context.metrics.count_response(service)
            return Response(
                event.answer.body,
                event.answer.status,
                {REQUEST_ID_HEADER: order.request_id},
                event.answer.content_type,
            )
        refusal = Refusal(RefusalReason.STREAM_CUT, Ran.UNKNOWN)
        if isinstance(event, AnswerRefused):
            refusal = event.refusal
        return self._refuse(refusal, order.request_id)

    def _require_configuration(self) -> Configuration:
        """Return the configuration, or raise if this entry cannot serve requests."""
        refusal = self._current_refusal()
        configuration = self._context.configuration()
        if refusal is not None:
            raise RefusedError(refusal)
        if configuration is None:
            raise RefusedError.not_run(RefusalReason.NO_CONFIGURATION, "", 1.0)
        return configuration

    def _refuse(self, refusal: Refusal, request_id: str) -> Response:
        self._context.metrics.count_refusal(refusal.reason)
        logger.info(
            "request refused",
            extra={"request_id": request_id, "reason": refusal.reason.value},
        )
        return refusal_response(refusal, request_id)
