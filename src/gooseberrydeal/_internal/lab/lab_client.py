"""Send requests as a caller does."""

import json
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

from gooseberrydeal._internal.exceptions import ServerError
from gooseberrydeal._internal.lab.lab_configuration import CALLER_KEY
from gooseberrydeal._internal.network.http_session import HttpSession

_READ_SECONDS: Final = 330.0
_IDLE_SECONDS: Final = 60.0
_OK: Final = 200


@dataclass
class CallResult:
    """Hold what a caller saw; times are seconds from sending."""

    status: int
    text: str = ""
    first_seconds: float | None = None
    total_seconds: float = 0.0
    longest_gap: float = 0.0
    is_whole: bool = False
    reason: str = ""
    ran: str = ""
    retry_after: float = 0.0
    request_id: str = ""
    body: dict[str, Any] = field(default_factory=dict)


class LabClient:
    """Call one entry."""

    def __init__(self, url: str, key: str = CALLER_KEY) -> None:
        self._session = HttpSession(
            url, read_seconds=_READ_SECONDS, pool_size=1024, reuse=True
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
        """Stream a completion and check that it ended."""
        body = {"model": model, "prompt": prompt, "max_tokens": tokens, "stream": True}
        began = time.monotonic()
        try:
            response = await self._session.open(
                "POST",
                "/v1/completions",
                json.dumps(body).encode(),
                {**self._headers, **(headers or {})},
            )
            if response.status_code != _OK:
                content = await self._session.read(response)
                return _refused(response.status_code, content, began)
            result = CallResult(_OK)
            result.request_id = response.headers.get("x-request-id", "")
            await self._read(response, result, began)
        except ServerError as error:
            return CallResult(
                0, total_seconds=time.monotonic() - began, reason=str(error)
            )
        result.total_seconds = time.monotonic() - began
        return result

    async def call(
        self,
        service: str,
        operation: str,
        body: object,
        *,
        headers: Mapping[str, str] | None = None,
    ) -> CallResult:
        """Call a plain service."""
        began = time.monotonic()
        try:
            status, _, content = await self._session.call_raw(
                "POST",
                f"/services/{service}/{operation}",
                json.dumps(body).encode(),
                {**self._headers, **(headers or {})},
            )
        except ServerError as error:
            return CallResult(
                0, total_seconds=time.monotonic() - began, reason=str(error)
            )
        if status != _OK:
            return _refused(status, content, began)
        elapsed = time.monotonic() - began
        value = json.loads(content)
        return CallResult(
            status,
            first_seconds=elapsed,
            total_seconds=elapsed,
            is_whole=True,
            body=value,
        )

    async def get(self, path: str) -> tuple[int, Any]:
        """Get a JSON document."""
        status, _, content = await self._session.call_raw(
            "GET", path, b"", self._headers
        )
        return status, json.loads(content)

    async def post(self, path: str, body: object) -> tuple[int, Any]:
        """Post a JSON document and return the JSON answer."""
        status, _, content = await self._session.call_raw(
            "POST", path, json.dumps(body).encode(), self._headers
        )
        return status, json.loads(content)

    async def _read(self, response: Any, result: CallResult, began: float) -> None:  # noqa: ANN401
        pending = b""
        last = began
        async for part in self._session.chunks(response, _IDLE_SECONDS):
            *events, pending = (pending + part).split(b"\n\n")
            now = time.monotonic()
            for event in events:
                has_text = _take(event, result)
                if has_text and result.first_seconds is None:
                    result.first_seconds = now - began
                elif has_text:
                    result.longest_gap = max(result.longest_gap, now - last)
                last = now if has_text else last


def _take(event: bytes, result: CallResult) -> bool:
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


def _refused(status: int, content: bytes, began: float) -> CallResult:
    try:
        error = json.loads(content)["error"]
    except (ValueError, KeyError, TypeError):
        error = {}
    return CallResult(
        status,
        total_seconds=time.monotonic() - began,
        reason=error.get("code", ""),
        ran=error.get("ran", ""),
        retry_after=float(error.get("retry_after", 0.0)),
        request_id=error.get("request_id", ""),
    )
