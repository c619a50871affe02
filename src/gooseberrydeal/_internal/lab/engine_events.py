"""Write what the engine stand-in answers."""

import json
from typing import Any

from starlette.responses import JSONResponse, Response

from gooseberrydeal._internal.lab.engine_run import EngineRun


def wanted_tokens(body: dict[str, Any]) -> int:
    """Return how many tokens a body asks for."""
    limit = body.get("max_tokens") or body.get("max_completion_tokens") or 16
    return max(1, int(limit))


def error(status: int, message: str) -> Response:
    """Return an error in the style of today's engines."""
    return JSONResponse({"error": {"message": message}}, status_code=status)


def event(request_id: str, run: EngineRun, text: str, finish: str) -> bytes:
    """Return the event for a token, or for the end."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish or None}
    if run.is_chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    return _line({"id": f"cmpl-{request_id}", "model": run.copy, "choices": [choice]})


def usage_event(request_id: str, run: EngineRun) -> bytes:
    """Return the event that counts the tokens."""
    usage = {"prompt_tokens": 5, "completion_tokens": len(run.words)}
    return _line(
        {
            "id": f"cmpl-{request_id}",
            "model": run.copy,
            "choices": [],
            "usage": usage,
        }
    )


def _line(value: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(value).encode() + b"\n\n"
