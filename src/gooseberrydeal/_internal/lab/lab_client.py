"""Send requests to an entry, as a caller does."""

import json
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

from gooseberrydeal._internal.exceptions import ServerError
from gooseberrydeal._internal.lab.lab_configuration import CALLER_KEY
from gooseberrydeal._internal.network.http_session import HttpSession

_READ_TIMEOUT_SECONDS: Final = 330.0
_IDLE_TIMEOUT_SECONDS: Final = 60.0
_OK: Final = 200


@dataclass
class CallResult:
    """Hold the outcome of a call as the caller observed it.

    ``status`` is the HTTP status, or 0 if the connection failed. Times are in seconds
    since the request was sent; ``longest_gap_seconds`` is the longest time between two
    text events. ``is_whole`` says that the answer arrived completely. ``reason``,
    ``ran`` and ``retry_after`` are taken from the error, if there was one.
    """

    status: int
    text: str = ""
    first_seconds: float | None = None
    total_seconds: float = 0.0
    longest_gap_seconds: float = 0.0
    is_whole: bool = False
    reason: str = ""
    ran: str = ""
    retry_after: float = 0.0
    request_id: str = ""
    body: dict[str, Any] = field(default_factory=dict)


class LabClient:
    """Send requests to one entry with the key of one caller."""

    def __init__(self, url: str, key: str = CALLER_KEY) -> None:
        self._session = HttpSession(
            url, read_seconds=_READ_TIMEOUT_SECONDS, pool_size=1024, reuse=True
        )
        self._headers = {
            "Authorization": f"Bearer {key}",
            "Content-Type": "application/json",
        }

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def complete(
        self,
        model: str,
        prompt: str,
        *,
        tokens: int = 16,
        headers: Mapping[str, str] | None = None,
    ) -> CallResult:
        """Request a streamed completion and read it to its end."""
        body = {"model": model, "prompt": prompt, "max_tokens": tokens, "stream": True}
        started = time.monotonic()
        try:
            response = await self._session.open(
                "POST",
                "/v1/completions",
                json.dumps(body).encode(),
                {**self._headers, **(headers or {})},
            )
            if response.status_code != _OK:
                content = await self._session.read(response)
                return _error_result(response.status_code, content, started)
            result = CallResult(_OK)
            result.request_id = response.headers.get("x-request-id", "")
            await self._read(response, result, started)
        except ServerError as error:
            return CallResult(
                0, total_seconds=time.monotonic() - started, reason=str(error)
            )
        result.total_seconds = time.monotonic() - started
        return result

    async def call(
        self,
        service: str,
        operation: str,
        body: object,
        *,
        headers: Mapping[str, str] | None = None,
    ) -> CallResult:
        """Call an operation of a plain service."""
        started = time.monotonic()
        try:
            status, _, content = await self._session.call_raw(
                "POST",
                f"/services/{service}/{operation}",
                json.dumps(body).encode(),
                {**self._headers, **(headers or {})},
            )
        except ServerError as error:
            return CallResult(
                0, total_seconds=time.monotonic() - started, reason=str(error)
            )
        if status != _OK:
            return _error_result(status, content, started)
        elapsed = time.monotonic() - started
        value = json.loads(content)
        return CallResult(
            status,
            first_seconds=elapsed,
            total_seconds=elapsed,
            is_whole=True,
            body=value,
        )

    async def get(self, path: str) -> tuple[int, Any]:
        """Send a GET request; return the status and the decoded JSON body."""
        status, _, content = await self._session.call_raw(
            "GET", path, b"", self._headers
        )
        return status, json.loads(content)

    async def post(self, path: str, body: object) -> tuple[int, Any]:
        """Post a JSON body; return the status and the decoded JSON answer."""
        status, _, content = await self._session.call_raw(
            "POST", path, json.dumps(body).encode(), self._headers
        )
        return status, json.loads(content)

    async def _read(self, response: Any, result: CallResult, started: float) -> None:  # noqa: ANN401
        pending = b""
        last_text = started
        async for part in self._session.chunks(response, _IDLE_TIMEOUT_SECONDS):
            *events, pending = (pending + part).split(b"\n\n")
            now = time.monotonic()
            for event in events:
                has_text = _apply_event(event, result)
                if has_text and result.first_seconds is None:
                    result.first_seconds = now - started
                elif has_text:
                    result.longest_gap_seconds = max(
                        result.longest_gap_seconds, now - last_text
                    )
                last_text = now if has_text else last_text


def _apply_event(event: bytes, result: CallResult) -> bool:
    data = event.removeprefix(b"data: ")
    if data.strip() == b"[DONE]":
        result.is_whole = True
        return False
    value = json.loads(data)
    if "error" in value:
        result.reason = value["error"]["code"]
        result.ran = value["error"]["ran"]
        return False
    choices = value["choices"]
    text = choices[0].get("text") or "" if choices else ""
    result.text += text
    return bool(text)


def _error_result(status: int, content: bytes, started: float) -> CallResult:
    try:
        error = json.loads(content)["error"]
    except (ValueError, KeyError, TypeError):
        error = {}
    return CallResult(
        status,
        total_seconds=time.monotonic() - started,
        reason=error.get("code", ""),
        ran=error.get("ran", ""),
        retry_after=float(error.get("retry_after", 0.0)),
        request_id=error.get("request_id", ""),
    )
