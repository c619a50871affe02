"""Write what the engine stand-in answers."""

import json
from collections.abc import Mapping
from typing import Any, Final

from starlette.responses import JSONResponse, Response

from gooseberrydeal._internal.lab.engine_run import EngineRun

_BASE_MODEL: Final = "base"


def models_body(copies: Mapping[str, str]) -> dict[str, Any]:
    """Return the list of models, the base model first."""
    data = [{"id": _BASE_MODEL, "object": "model", "root": _BASE_MODEL}]
    data += [
        {"id": copy, "object": "model", "root": path, "parent": _BASE_MODEL}
        for copy, path in copies.items()
    ]
    return {"object": "list", "data": data}


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
