"""Authenticate, limit and authorise callers."""

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

_BEARER: Final = "bearer "
_BODY_SECONDS: Final = 30.0


class CallerAuth:
    """Decide who may ask, how often and for what."""

    def __init__(self, clock: Clock, body_bytes: int) -> None:
        self._clock = clock
        self._body_bytes = body_bytes
        self._limiter = RateLimiter()

    def caller(self, request: Request, configuration: Configuration) -> Caller:
        """Return the caller that holds the request's key."""
        header = request.headers.get("authorization", "")
        if not header.lower().startswith(_BEARER):
            raise RefusedError.not_run(
                RefusalReason.UNAUTHENTICATED, "send Authorization: Bearer KEY"
            )
        key = header[len(_BEARER) :].strip()
        digest = sha256(key.encode()).hexdigest()
        caller = configuration.caller_with_key_hash(digest)
        if caller is None:
            raise RefusedError.not_run(
                RefusalReason.UNAUTHENTICATED, "the key is not known"
            )
        return caller

    def limit(self, caller: Caller) -> None:
        """Count a request of a caller against its rate."""
        wait = self._limiter.try_acquire(
            caller.name, caller.requests_per_second, self._clock.monotonic()
        )
        if wait > 0:
            raise RefusedError.not_run(
                RefusalReason.RATE_LIMITED, "too many requests", wait
            )

    async def body(self, request: Request) -> bytes:
        """Return the body of a request, which may not be too long."""
        try:
            async with asyncio.timeout(_BODY_SECONDS):
                return await self._read(request)
        except TimeoutError as error:
            raise RefusedError.not_run(
                RefusalReason.BAD_REQUEST, "the body came too slowly"
            ) from error

    async def _read(self, request: Request) -> bytes:
        parts = []
        size = 0
        async for part in request.stream():
            size += len(part)
            if size > self._body_bytes:
                raise RefusedError.not_run(
                    RefusalReason.TOO_LARGE,
                    f"send at most {self._body_bytes} bytes",
                )
            parts.append(part)
        return b"".join(parts)

    def authorise(
        self, caller: Caller, service: str, adapter: AdapterRef | None
    ) -> None:
        """Refuse what the caller has not been declared to call."""
        if service not in caller.services:
            raise RefusedError.not_run(
                RefusalReason.NOT_ALLOWED, f"{caller.name} may not call {service}"
            )
        if adapter is None or is_named(adapter.name, caller.adapters):
            return
        raise RefusedError.not_run(
            RefusalReason.NOT_ALLOWED, f"{caller.name} may not use {adapter.name}"
        )


def is_named(name: str, patterns: tuple[str, ...]) -> bool:
    """Return whether a name is among the patterns, which may end in ``*``."""
    return any(
        name.startswith(pattern[:-1]) if pattern.endswith("*") else name == pattern
        for pattern in patterns
    )
