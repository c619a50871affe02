"""Format answers and refusals as OpenAI-compatible responses."""

import json
import math
from collections.abc import AsyncIterator
from typing import Any, Final

from starlette.responses import JSONResponse, Response

from gooseberrydeal._internal.models.answer_events import (
    AnswerEnd,
    AnswerEvent,
    AnswerRefused,
    AnswerText,
)
from gooseberrydeal._internal.models.http_status import HTTP_STATUS
from gooseberrydeal._internal.models.ran import Ran
from gooseberrydeal._internal.models.refusal import Refusal
from gooseberrydeal._internal.models.refusal_reason import RefusalReason

REQUEST_ID_HEADER: Final = "X-Request-Id"
RAN_HEADER: Final = "X-Ran"


class AnswerWriter:
    """Format one answer as a JSON object or as server-sent events."""

    def __init__(
        self, request_id: str, model: str, created: int, *, is_chat: bool
    ) -> None:
        self._is_chat = is_chat
        self._id_prefix = "chatcmpl-" if is_chat else "cmpl-"
        object_type = "chat.completion" if is_chat else "text_completion"
        self._fields = {
            "id": f"{self._id_prefix}{request_id}",
            "object": object_type,
            "created": created,
            "model": model,
        }
        # Serialised once per answer; each event appends its own fields.
        chunk_type = "chat.completion.chunk" if is_chat else "text_completion"
        self._chunk_start = json.dumps({**self._fields, "object": chunk_type})[:-1]

    def full_response(self, text: str, end: AnswerEnd) -> dict[str, Any]:
        """Return the JSON object of a complete answer that is not streamed."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": end.finish_reason}
        if self._is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {**self._fields, "choices": [choice], "usage": _usage(end)}

    def text(self, text: str, *, is_first: bool) -> bytes:
        """Return the event for a piece of generated text."""
        quoted = json.dumps(text)
        if not self._is_chat:
            choice = f'"index":0,"text":{quoted},"finish_reason":null'
            return self._event(f'"choices":[{{{choice}}}]')
        role = '"role":"assistant",' if is_first else ""
        choice = f'"index":0,"delta":{{{role}"content":{quoted}}},"finish_reason":null'
        return self._event(f'"choices":[{{{choice}}}]')

    def end(self, end: AnswerEnd) -> bytes:
        """Return the events that end a complete stream."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": end.finish_reason}
        if self._is_chat:
            choice["delta"] = {}
        else:
            choice["text"] = ""
        body = {"choices": [choice], "usage": _usage(end)}
        return self._event(json.dumps(body)[1:-1]) + b"data: [DONE]\n\n"

    def error(self, refusal: Refusal) -> bytes:
        """Return the event that ends an incomplete stream."""
        body = json.dumps({"error": error_body(refusal, self._fields["id"])})
        return f"data: {body}\n\n".encode()

    def _event(self, fields: str) -> bytes:
        return f"data: {self._chunk_start},{fields}}}\n\n".encode()


def error_body(refusal: Refusal, request_id: object) -> dict[str, Any]:
    """Return the JSON error object for a refusal."""
    message = refusal.detail or refusal.reason.value.replace("_", " ")
    body: dict[str, Any] = {
        "message": message,
        "type": "gooseberrydeal_error",
        "code": refusal.reason.value,
        "ran": refusal.ran.value,
        "request_id": request_id,
    }
    if refusal.retry_after is not None:
        body["retry_after"] = round(refusal.retry_after, 2)
    return body


def refusal_response(refusal: Refusal, request_id: str) -> Response:
    """Return the HTTP response for a refusal."""
    headers = {REQUEST_ID_HEADER: request_id, RAN_HEADER: refusal.ran.value}
    if refusal.retry_after is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after)))
    return JSONResponse(
        {"error": error_body(refusal, request_id)},
        status_code=HTTP_STATUS[refusal.reason],
        headers=headers,
    )


async def stream_events(
    writer: AnswerWriter, first: AnswerEvent, rest: AsyncIterator[AnswerEvent]
) -> AsyncIterator[bytes]:
    """Yield an answer as server-sent events.

    An answer that is refused, or whose events stop, ends with an error event.
    """
    is_first = True
    event: AnswerEvent | None = first
    while event is not None:
        if isinstance(event, AnswerText):
            yield writer.text(event.text, is_first=is_first)
            is_first = False
        elif isinstance(event, AnswerEnd):
            yield writer.end(event)
            return
        elif isinstance(event, AnswerRefused):
            yield writer.error(event.refusal)
            return
        event = await anext(rest, None)
    yield writer.error(Refusal(RefusalReason.STREAM_CUT, Ran.UNKNOWN))


def _usage(end: AnswerEnd) -> dict[str, int]:
    return {
        "prompt_tokens": end.prompt_tokens,
        "completion_tokens": end.tokens,
        "total_tokens": end.prompt_tokens + end.tokens,
    }
