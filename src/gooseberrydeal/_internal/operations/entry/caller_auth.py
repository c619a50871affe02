"""Authenticate, rate-limit and authorise callers."""

import asyncio
from hashlib import sha256
from typing import Final

from starlette.requests import Request

from gooseberrydeal._internal.models.adapter_ref import AdapterRef
from gooseberrydeal._internal.models.caller import Caller
from gooseberrydeal._internal.models.configuration import Configuration
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.operations.entry.refused_error import RefusedError
from gooseberrydeal._internal.policy.rate_limiter import RateLimiter
from gooseberrydeal._internal.utils.clock import Clock

_BEARER_PREFIX: Final = "bearer "
_BODY_TIMEOUT_SECONDS: Final = 30.0


class CallerAuth:
    """Check each request's API key, rate, body size and permissions.

    All checks raise :class:`RefusedError` if they fail.
    """

    def __init__(self, clock: Clock, max_body_bytes: int) -> None:
        self._clock = clock
        self._max_body_bytes = max_body_bytes
        self._rate_limiter = RateLimiter()

    def authenticate(self, request: Request, configuration: Configuration) -> Caller:
        """Return the caller with the API key in the ``Authorization`` header."""
        header = request.headers.get("authorization", "")
        if not header.lower().startswith(_BEARER_PREFIX):
            raise RefusedError.not_run(
                RefusalReason.UNAUTHENTICATED, "send Authorization: Bearer KEY"
            )
        key = header[len(_BEARER_PREFIX) :].strip()
        digest = sha256(key.encode()).hexdigest()
        caller = configuration.caller_with_key_hash(digest)
        if caller is None:
            raise RefusedError.not_run(
                RefusalReason.UNAUTHENTICATED, "the key is not known"
            )
        return caller

    def check_rate_limit(self, caller: Caller) -> None:
        """Count a request against the caller's rate limit."""
        wait = self._rate_limiter.try_acquire(
            caller.name, caller.requests_per_second, self._clock.monotonic()
        )
        if wait > 0:
            raise RefusedError.not_run(
                RefusalReason.RATE_LIMITED, "too many requests", wait
            )

    async def read_body(self, request: Request) -> bytes:
        """Return the request body, limited in size and in the time to receive it."""
        try:
            async with asyncio.timeout(_BODY_TIMEOUT_SECONDS):
                return await self._read_limited(request)
        except TimeoutError as error:
            raise RefusedError.not_run(
                RefusalReason.BAD_REQUEST, "the body came too slowly"
            ) from error

    async def _read_limited(self, request: Request) -> bytes:
        parts = []
        size = 0
        async for part in request.stream():
            size += len(part)
            if size > self._max_body_bytes:
                raise RefusedError.not_run(
                    RefusalReason.TOO_LARGE,
                    f"send at most {self._max_body_bytes} bytes",
                )
            parts.append(part)
        return b"".join(parts)

    def authorise(
        self, caller: Caller, service: str, adapter: AdapterRef | None
    ) -> None:
        """Check that the caller may call the service and use the adapter."""
        if service not in caller.services:
            raise RefusedError.not_run(
                RefusalReason.NOT_ALLOWED, f"{caller.name} may not call {service}"
            )
        if adapter is None or matches(adapter.name, caller.adapters):
            return
        raise RefusedError.not_run(
            RefusalReason.NOT_ALLOWED, f"{caller.name} may not use {adapter.name}"
        )


def matches(name: str, patterns: tuple[str, ...]) -> bool:
    """Return whether a name matches a pattern.

    A pattern is a full name, or a prefix followed by ``*``.
    """
    return any(
        name.startswith(pattern[:-1]) if pattern.endswith("*") else name == pattern
        for pattern in patterns
    )
