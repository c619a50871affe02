"""Build the HTTP responses and stream events of the engine stand-in."""

import json
from collections.abc import Mapping
from typing import Any, Final

from starlette.responses import JSONResponse, Response

from gooseberrydeal._internal.lab.engine_run import EngineRun

_BASE_MODEL: Final = "base"


def models_body(copies: Mapping[str, str]) -> dict[str, Any]:
    """Return the model list: the base model, then each loaded adapter copy.

    ``copies`` maps the name of a copy to the path of its weights.
    """
    data = [{"id": _BASE_MODEL, "object": "model", "root": _BASE_MODEL}]
    data += [
        {"id": copy, "object": "model", "root": path, "parent": _BASE_MODEL}
        for copy, path in copies.items()
    ]
    return {"object": "list", "data": data}


def token_limit(body: dict[str, Any]) -> int:
    """Return the number of tokens that a request body asks for, at least 1."""
    limit = body.get("max_tokens") or body.get("max_completion_tokens") or 16
    return max(1, int(limit))


def error_response(status: int, message: str) -> Response:
    """Return an error response in the OpenAI format."""
    return JSONResponse({"error": {"message": message}}, status_code=status)


def token_event(request_id: str, run: EngineRun, text: str, finish: str) -> bytes:
    """Return the event for one token, or the final event if ``finish`` is set."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish or None}
    if run.is_chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    return _server_sent_event(
        {"id": f"cmpl-{request_id}", "model": run.copy, "choices": [choice]}
    )


def usage_event(request_id: str, run: EngineRun) -> bytes:
    """Return the event with the token usage of a run."""
    usage = {"prompt_tokens": 5, "completion_tokens": len(run.words)}
    return _server_sent_event(
        {
            "id": f"cmpl-{request_id}",
            "model": run.copy,
            "choices": [],
            "usage": usage,
        }
    )


def _server_sent_event(value: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(value).encode() + b"\n\n"
