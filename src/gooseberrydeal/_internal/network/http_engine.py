"""Call a model engine over its OpenAI-compatible HTTP API."""

import json
import ssl
from collections.abc import AsyncIterator
from typing import Any, Final

from gooseberrydeal._internal.exceptions import (
    ServerBrokenError,
    ServerRefusedError,
    WrongAnswerError,
)
from gooseberrydeal._internal.models.engine_request import EngineRequest
from gooseberrydeal._internal.models.engine_state import EngineState
from gooseberrydeal._internal.models.engine_tokens import EngineTokens
from gooseberrydeal._internal.models.ids import FencingNumber, RequestId
from gooseberrydeal._internal.network.http_session import HttpSession

FENCING_HEADER: Final = "X-Fencing-Number"
REQUEST_ID_HEADER: Final = "X-Request-Id"
_READ_TIMEOUT_SECONDS: Final = 30.0
_STREAM_IDLE_TIMEOUT_SECONDS: Final = 10.0
_MIN_ERROR_STATUS: Final = 400
_NOT_FOUND_STATUS: Final = 404
_EVENT_DATA_PREFIX: Final = b"data: "
_DONE_MARKER: Final = b"[DONE]"


class HttpEngine:
    """Use the published completion, adapter and model endpoints of current engines."""

    def __init__(self, session: HttpSession) -> None:
        self._session = session

    @classmethod
    def from_address(
        cls, address: str, tls: ssl.SSLContext | None = None
    ) -> "HttpEngine":
        """Build a client for ``IP:port``."""
        scheme = "http" if tls is None else "https"
        return cls(
            HttpSession(
                f"{scheme}://{address}", read_seconds=_READ_TIMEOUT_SECONDS, tls=tls
            )
        )

    async def state(self) -> EngineState:
        """Return the loaded copies and the number of requests running on each."""
        models = await self._session.call_json("GET", "/v1/models")
        load = await self._session.call_json("GET", "/load")
        try:
            copies = {
                str(item["id"]): str(item.get("root", ""))
                for item in models["data"]
                if item.get("parent")
            }
            running = {
                str(name): int(count)
                for name, count in load.get("running_lora_adapters", {}).items()
            }
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise ServerBrokenError(
                "engine returned malformed data for /v1/models or /load"
            ) from error
        return EngineState(copies, running)

    async def load(self, copy: str, path: str, fencing: FencingNumber) -> None:
        """Load a copy of an adapter from the weight store."""
        await self._call_adapter_endpoint(
            "/v1/load_lora_adapter", {"lora_name": copy, "lora_path": path}, fencing
        )

    async def unload(self, copy: str, fencing: FencingNumber) -> None:
        """Unload a copy of an adapter."""
        await self._call_adapter_endpoint(
            "/v1/unload_lora_adapter", {"lora_name": copy}, fencing
        )

    async def generate(self, request: EngineRequest) -> AsyncIterator[EngineTokens]:
        """Stream generated text; closing the iterator cancels the request."""
        path = "/v1/chat/completions" if request.is_chat else "/v1/completions"
        body = {
            **request.parameters,
            "model": request.copy,
            "stream": True,
            "priority": request.priority,
            "stream_options": {"include_usage": True},
        }
        headers = {
            "Content-Type": "application/json",
            REQUEST_ID_HEADER: request.request_id,
        }
        response = await self._session.open(
            "POST", path, json.dumps(body).encode(), headers
        )
        async for tokens in self._read_tokens(response, request):
            yield tokens

    async def resume(self, request: EngineRequest) -> AsyncIterator[EngineTokens]:
        """Resume an interrupted stream at the request's offset."""
        path = (
            f"/v1/responses/{request.request_id}"
            f"?stream=true&starting_after={request.offset}"
        )
        response = await self._session.open("GET", path, b"", {})
        async for tokens in self._read_tokens(response, request):
            yield tokens

    async def cancel(self, request_id: RequestId) -> None:
        """Cancel a generation whose stream was lost."""
        await self._session.call_json("POST", f"/v1/responses/{request_id}/cancel", {})

    async def is_running(self, request_id: RequestId) -> bool | None:
        """Return whether a request is running, ``None`` if the engine has no record."""
        try:
            response = await self._session.call_json(
                "GET", f"/v1/responses/{request_id}"
            )
        except ServerRefusedError as error:
            if error.status == _NOT_FOUND_STATUS:
                return None
            raise
        try:
            return bool(response["status"] == "in_progress")
        except (KeyError, TypeError) as error:
            raise ServerBrokenError(
                "engine returned a malformed request status"
            ) from error

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def _call_adapter_endpoint(
        self, path: str, body: dict[str, Any], fencing: FencingNumber
    ) -> None:
        await self._session.call(
            "POST",
            path,
            json.dumps(body).encode(),
            {"Content-Type": "application/json", FENCING_HEADER: str(fencing)},
        )

    async def _read_tokens(
        self,
        response: Any,  # noqa: ANN401
        request: EngineRequest,
    ) -> AsyncIterator[EngineTokens]:
        """Parse the server-sent events of a completion response."""
        if response.status_code >= _MIN_ERROR_STATUS:
            await self._session.read(response)
            raise ServerRefusedError(
                f"engine returned status {response.status_code}", response.status_code
            )
        buffer = b""
        is_done = False
        async for chunk in self._session.chunks(response, _STREAM_IDLE_TIMEOUT_SECONDS):
            *events, buffer = (buffer + chunk).split(b"\n\n")
            for event in events:
                if not event.startswith(_EVENT_DATA_PREFIX):
                    continue
                data = event[len(_EVENT_DATA_PREFIX) :]
                if data.strip() == _DONE_MARKER:
                    is_done = True
                    continue
                yield _parse_event(data, request)
        if not is_done:
            raise ServerBrokenError("engine's stream ended before the [DONE] event")


def _is_same_adapter(model: str, copy: str) -> bool:
    """Compare names without the fencing number, which changes with the owner."""
    return model.rpartition("~")[0] == copy.rpartition("~")[0]


def _parse_event(data: bytes, request: EngineRequest) -> EngineTokens:
    """Parse an event and check that it belongs to the request."""
    try:
        event = json.loads(data)
        if "error" in event:
            raise ServerBrokenError("engine reported an error during generation")
        has_request_id = request.request_id in event["id"]
        if not has_request_id or not _is_same_adapter(event["model"], request.copy):
            raise WrongAnswerError(
                "engine's response belongs to another request or adapter"
            )
        usage = event.get("usage") or {}
        choices = event["choices"]
        if not choices:
            return EngineTokens("", 0, "", int(usage.get("prompt_tokens", 0)))
        choice = choices[0]
        content = choice["delta"].get("content") if request.is_chat else choice["text"]
        text = content or ""
        return EngineTokens(
            text,
            1 if text else 0,
            choice.get("finish_reason") or "",
            int(usage.get("prompt_tokens", 0)),
        )
    except (KeyError, TypeError, ValueError, IndexError, AttributeError) as error:
        raise ServerBrokenError("engine sent a malformed stream event") from error
