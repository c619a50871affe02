"""Remember which requests were served a moment ago."""

from collections import OrderedDict
from typing import Final

from gooseberrydeal._internal.models.routing.request_fingerprint import (
    RequestFingerprint,
)
from gooseberrydeal._internal.policy.request_identity import RequestIdentity

_RETENTION_SECONDS: Final = 2.0
_MAX_REQUESTS: Final = 4096
# Longer bodies are not remembered, since each would have to be read for its digest.
_MAX_BODY_BYTES: Final = 65_536


class RecentlyServed:
    """Keep the fingerprints of the requests that were served last."""

    def __init__(self) -> None:
        self._served_at: OrderedDict[RequestFingerprint, float] = OrderedDict()

    def note(self, identity: RequestIdentity, now: float) -> None:
        """Record that a request was served."""
        if identity.body_length > _MAX_BODY_BYTES:
            return
        self._served_at[identity.fingerprint] = now
        self._served_at.move_to_end(identity.fingerprint)
        if len(self._served_at) > _MAX_REQUESTS:
            self._served_at.popitem(last=False)

    def holds(self, fingerprint: RequestFingerprint, now: float) -> bool:
        """Return whether a request was served within the last two seconds."""
        served_at = self._served_at.get(fingerprint)
        return served_at is not None and now - served_at < _RETENTION_SECONDS
