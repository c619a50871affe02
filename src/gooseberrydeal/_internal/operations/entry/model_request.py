"""Parse and validate the body of a completion request."""

from typing import Any, Final, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.operations.entry.refused_error import RefusedError

_DEFAULT_MAX_TOKENS: Final = 16
# Fields that change the response in ways that this API does not implement.
_UNSUPPORTED_FIELDS: Final = (
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
    """Hold one chat message; all other fields are passed to the engine as they are."""

    model_config = ConfigDict(extra="allow")

    role: str
    content: str | list[Any] | None = None


class ModelRequest(BaseModel):
    """Hold the fields that the entry uses.

    All other fields are passed to the engine as they are.
    """

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
        """Parse and validate a request body.

        Raises :class:`RefusedError` if the body is invalid or uses unsupported fields.
        """
        try:
            request = cls.model_validate_json(body)
        except ValidationError as error:
            first = error.errors()[0]
            location = ".".join(str(part) for part in first["loc"])
            raise RefusedError.not_run(
                RefusalReason.BAD_REQUEST, f"{location}: {first['msg']}"
            ) from error
        request.check_supported(is_chat=is_chat)
        return request

    @property
    def token_limit(self) -> int:
        """Return the maximum number of tokens to generate."""
        return self.max_completion_tokens or self.max_tokens or _DEFAULT_MAX_TOKENS

    @property
    def prompt_prefix(self) -> str:
        """Return the start of the prompt.

        Requests with the same prefix can share an engine's prefix cache.
        """
        if self.prompt is not None:
            return self.prompt[:_PREFIX_CHARACTERS]
        if self.messages:
            return str(self.messages[0].content)[:_PREFIX_CHARACTERS]
        return ""

    def check_supported(self, *, is_chat: bool) -> None:
        """Raise :class:`RefusedError` if the request cannot be answered correctly.

        Ignoring an unsupported field would give the caller a wrong response.
        """
        if is_chat and not self.messages:
            raise RefusedError.not_run(
                RefusalReason.BAD_REQUEST, "messages: give at least one"
            )
        if not is_chat and self.prompt is None:
            raise RefusedError.not_run(
                RefusalReason.BAD_REQUEST, "prompt: give one string"
            )
        extra_fields = self.model_extra or {}
        for name in _UNSUPPORTED_FIELDS:
            if extra_fields.get(name):
                raise RefusedError.not_run(
                    RefusalReason.UNSUPPORTED, f"{name} is not supported"
                )

    def engine_body(self) -> bytes:
        """Return the JSON body for the engine.

        ``model`` and ``stream`` are left out, since the server's owner sets them, and
        ``n``, since only 1 is accepted.
        """
        excluded = {"model", "stream", "n"}
        return self.model_dump_json(exclude=excluded, exclude_none=True).encode()
