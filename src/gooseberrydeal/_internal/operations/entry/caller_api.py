"""Answer callers over HTTP."""

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
from gooseberrydeal._internal.operations.entry.caller_auth import CallerAuth, is_named
from gooseberrydeal._internal.operations.entry.disconnect import disconnected
from gooseberrydeal._internal.operations.entry.entry_context import EntryContext
from gooseberrydeal._internal.operations.entry.in_progress import InProgress
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
    """Offer the OpenAI-style calls and the plain services."""

    def __init__(
        self,
        context: EntryContext,
        access: CallerAuth,
        orders: OrderBuilder,
        runner: WorkRunner,
        plain_calls: PlainCalls,
        refusal_now: Callable[[], Refusal | None],
    ) -> None:
        self._context = context
        self._access = access
        self._orders = orders
        self._runner = runner
        self._plain_calls = plain_calls
        self._refusal_now = refusal_now
        self._requests = InProgress()

    @property
    def requests(self) -> InProgress:
        """Return the requests that are being answered."""
        return self._requests

    def app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/v1/models", self._guard(self._models)),
                Route(
                    "/v1/completions", self._guard(self._completion), methods=["POST"]
                ),
                Route(
                    "/v1/chat/completions", self._guard(self._chat), methods=["POST"]
                ),
                Route(
                    "/services/{service}/{operation}",
                    self._guard(self._plain),
                    methods=["POST"],
                ),
                Route("/ready", self._ready),
            ]
        )

    def _guard(self, handler: Handler) -> Handler:
        async def guarded(request: Request) -> Response:
            self._requests.begin()
            response: Response | None = None
            try:
                response = await handler(request)
            except RefusedError as error:
                response = self._refused(error.refusal, uuid4().hex)
            except ClientDisconnect:
                response = Response(status_code=400)
            finally:
                if not isinstance(response, StreamingResponse):
                    self._requests.end()
            return response

        return guarded

    async def _ready(self, request: Request) -> Response:
        refusal = self._refusal_now()
        if refusal is not None:
            return JSONResponse({"ready": False, "reason": refusal.reason.value}, 503)
        return JSONResponse({"ready": True})

    async def _models(self, request: Request) -> Response:
        configuration = self._configuration()
        caller = self._access.caller(request, configuration)
        names = [
            name
            for name in configuration.model_names()
            if self._may_use(caller.adapters, name, configuration)
        ]
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": "gooseberrydeal"}
            for name in names
        ]
        return JSONResponse({"object": "list", "data": data})

    def _may_use(
        self, patterns: tuple[str, ...], name: str, configuration: Configuration
    ) -> bool:
        alias = configuration.alias(name) if name not in patterns else None
        target = alias.adapter if alias is not None else name
        return is_named(target, patterns)

    async def _completion(self, request: Request) -> Response:
        return await self._generate(request, is_chat=False)

    async def _chat(self, request: Request) -> Response:
        return await self._generate(request, is_chat=True)

    async def _generate(self, request: Request, *, is_chat: bool) -> Response:
        configuration = self._configuration()
        caller = self._access.caller(request, configuration)
        self._access.limit(caller)
        body = await self._access.body(request)
        checked = ModelRequest.from_body(body, is_chat=is_chat)
        adapter = self._orders.resolve(checked.model, configuration)
        declared = configuration.adapter(adapter.name)
        service = declared.service if declared is not None else ""
        self._access.authorise(caller, service, adapter)
        order = self._orders.for_model(request, caller, checked, adapter, configuration)
        writer = AnswerWriter(
            order.request_id,
            checked.model,
            int(self._context.clock.wall()),
            is_chat=is_chat,
        )
        return await self._answer(request, order, writer, streams=checked.stream)

    async def _answer(
        self,
        request: Request,
        order: WorkOrder,
        writer: AnswerWriter,
        *,
        streams: bool,
    ) -> Response:
        began = self._context.clock.monotonic()
        events = self._runner.run(order)
        first = await self._first(request, events)
        if isinstance(first, AnswerRefused):
            return self._refused(first.refusal, order.request_id)
        now = self._context.clock.monotonic()
        self._context.metrics.observe_first_token(order.service, now - began)
        if streams:
            return StreamingResponse(
                self._streamed(order, writer, first, events),
                media_type="text/event-stream",
                headers={REQUEST_ID_HEADER: order.request_id},
            )
        return await self._collected(order, writer, first, events)

    async def _first(
        self, request: Request, events: AsyncGenerator[AnswerEvent, None]
    ) -> AnswerEvent:
        """Return the first event, or stop the work if the caller goes away."""
        reading = asyncio.ensure_future(anext(events))
        leaving = asyncio.ensure_future(disconnected(request))
        try:
            await asyncio.wait({reading, leaving}, return_when=asyncio.FIRST_COMPLETED)
            if not reading.done():
                raise RefusedError(Refusal(RefusalReason.CANCELLED, Ran.UNKNOWN))
            return reading.result()
        finally:
            leaving.cancel()
            if not reading.done():
                reading.cancel()

    async def _streamed(
        self,
        order: WorkOrder,
        writer: AnswerWriter,
        first: AnswerEvent,
        events: AsyncGenerator[AnswerEvent, None],
    ) -> AsyncGenerator[bytes, None]:
        noted = self._noting(order, events)
        try:
            async for data in stream_events(writer, first, noted):
                yield data
        finally:
            await noted.aclose()
            self._requests.end()

    async def _noting(
        self, order: WorkOrder, events: AsyncGenerator[AnswerEvent, None]
    ) -> AsyncGenerator[AnswerEvent, None]:
        try:
            async for event in events:
                self._note(order, event)
                yield event
        finally:
            await events.aclose()

    async def _collected(
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
            self._note(order, event)
            return JSONResponse(
                writer.whole("".join(parts), event),
                headers={REQUEST_ID_HEADER: order.request_id},
            )
        refusal = Refusal(RefusalReason.STREAM_CUT, Ran.UNKNOWN)
        if isinstance(event, AnswerRefused):
            refusal = event.refusal
        return self._refused(refusal, order.request_id)

    def _note(self, order: WorkOrder, event: AnswerEvent) -> None:
        if isinstance(event, AnswerEnd):
            self._context.metrics.count_response(order.service)
            if order.adapter is not None:
                self._orders.note_length(order.adapter, order.work_class, event.tokens)
        elif isinstance(event, AnswerRefused):
            self._context.metrics.count_refusal(event.refusal.reason)

    async def _plain(self, request: Request) -> Response:
        configuration = self._configuration()
        caller = self._access.caller(request, configuration)
        self._access.limit(caller)
        service = request.path_params["service"]
        operation = request.path_params["operation"]
        self._access.authorise(caller, service, None)
        body = await self._access.body(request)
        order = self._orders.for_call(
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
        return self._refused(refusal, order.request_id)

    def _configuration(self) -> Configuration:
        refusal = self._refusal_now()
        configuration = self._context.configuration()
        if refusal is not None:
            raise RefusedError(refusal)
        if configuration is None:
            raise RefusedError.not_run(RefusalReason.NO_CONFIGURATION, "", 1.0)
        return configuration

    def _refused(self, refusal: Refusal, request_id: str) -> Response:
        self._context.metrics.count_refusal(refusal.reason)
        logger.info(
            "refused",
            extra={"request_id": request_id, "reason": refusal.reason.value},
        )
        return refusal_response(refusal, request_id)
