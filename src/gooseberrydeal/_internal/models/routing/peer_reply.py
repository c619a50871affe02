"""Define what a host says of a request that another host passed on to it."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.refusal_reason import RefusalReason


@dataclass(frozen=True, slots=True)
class PeerReply:
    """Hold why a host refused a request itself, and how busy it is.

    ``refusal`` is ``None`` if the reply is that of a server. ``in_progress`` is the
    number of requests that the host serves, ``None`` if it does not say. ``leaving``
    names the server of the reply and its start if it stated that it leaves.
    ``is_brittle`` says whether the server stated that it is brittle. ``revision`` is
    that of the configuration by which the host has refused the request, if it says so.
    """

    refusal: RefusalReason | None = None
    in_progress: int | None = None
    leaving: tuple[ServerId, int] | None = None
    is_brittle: bool = False
    revision: int | None = None
