"""Define the identity of a server's crash."""

from typing import NamedTuple

from gooseberrydeal._internal.models.ids import ServerId


class CrashId(NamedTuple):
    """Identify one crash of a backend server.

    ``started_at`` is the start time in the server's entry. ``number`` counts the
    crashes since that entry was read, since a host that cannot read the store does not
    learn of a restart.
    """

    server: ServerId
    started_at: int
    number: int
