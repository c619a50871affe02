"""Define the identity of a server's crash."""

from typing import NamedTuple

from gooseberrydeal._internal.models.ids import ServerId


class CrashId(NamedTuple):
    """Identify one crash of a backend server.

    ``started_at`` is the start time in the server's entry. ``number`` counts the
    crashes since that entry was read, since a host that cannot read the store does not
    learn of a restart. It is negative if the crash counts once more for a request that
    was isolated there.
    """

    server: ServerId
    started_at: int
    number: int

    @property
    def is_isolated(self) -> bool:
        """Return whether this is the additional count for an isolated request."""
        return self.number < 0

    @property
    def isolated(self) -> "CrashId":
        """Return the additional count of this crash for a request isolated there."""
        return self._replace(number=-abs(self.number))
