"""Check the body of a completion request."""

from typing import Any, Final, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.operations.entry.refused_error import RefusedError

_DEFAULT_TOKENS: Final = 16
_UNSUPPORTED: Final = (
    "tools",
    "functions",
    "logprobs",
    "top_logprobs",
    "echo",
    "best_of",
    "audio",
)
_PREFIX_CHARACTERS: Final = 256


class ChatMessage(BaseModel):
    """Hold one message of a chat; further fields go to the engine unread."""

    model_config = ConfigDict(extra="allow")

    role: str
    content: str | list[Any] | None = None


class ModelRequest(BaseModel):
    """Hold the fields that the entry reads; all others go to the engine unread."""

    model_config = ConfigDict(extra="allow")

    model: str = Field(min_length=1, max_length=300)
    prompt: str | None = None
    messages: list[ChatMessage] | None = None
    max_tokens: int | None = Field(default=None, ge=1, le=1_000_000)
    max_completion_tokens: int | None = Field(default=None, ge=1, le=1_000_000)
    stream: bool = False
    n: Literal[1] | None = None

    @classmethod
    def from_body(cls, body: bytes, *, is_chat: bool) -> "ModelRequest":
        """Return a checked request, or raise :class:`RefusedError`."""
        try:
            request = cls.model_validate_json(body)
        except ValidationError as error:
            first = error.errors()[0]
            place = ".".join(str(part) for part in first["loc"])
            raise RefusedError.not_run(
                RefusalReason.BAD_REQUEST, f"{place}: {first['msg']}"
            ) from error
        request.check_supported(is_chat=is_chat)
        return request

    @property
    def token_limit(self) -> int:
        """Return how many tokens are asked for at most."""
        return self.max_completion_tokens or self.max_tokens or _DEFAULT_TOKENS

    @property
    def prefix(self) -> str:
        """Return the start of the prompt, by which engines cache."""
        if self.prompt is not None:
            return self.prompt[:_PREFIX_CHARACTERS]
        if self.messages:
            return str(self.messages[0].content)[:_PREFIX_CHARACTERS]
        return ""

    def check_supported(self, *, is_chat: bool) -> None:
        """Refuse what would be answered wrongly rather than leave it out."""
        if is_chat and not self.messages:
            raise RefusedError.not_run(
                RefusalReason.BAD_REQUEST, "messages: give at least one"
            )
        if not is_chat and self.prompt is None:
            raise RefusedError.not_run(
                RefusalReason.BAD_REQUEST, "prompt: give one string"
            )
        asked = self.model_extra or {}
        for name in _UNSUPPORTED:
            if asked.get(name):
                raise RefusedError.not_run(
                    RefusalReason.UNSUPPORTED, f"{name} is not supported"
                )

    def engine_body(self) -> bytes:
        """Return the body for the engine; model and stream are set by the owner."""
        excluded = {"model", "stream", "n"}
        return self.model_dump_json(exclude=excluded, exclude_none=True).encode()
