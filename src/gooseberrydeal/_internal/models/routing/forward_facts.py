"""Define the metadata that is added to a forwarded request."""

from dataclasses import dataclass

from gooseberrydeal._internal.models.ids import AccountName, ServerId


@dataclass(frozen=True, slots=True)
class ForwardAttributes:
    """Hold the values of the header fields that are set on a forwarded request.

    ``seconds_left`` is the time after which the server must not work on the request.
    ``rank`` is the priority, 0 being the most urgent. An ``adapter_version`` of 0 is
    not sent. ``resume_after_event_id`` is the id of the last event received from a
    stream that is to be resumed; otherwise ``forwards_last_event_id`` states whether
    the caller's own ``Last-Event-Id`` is forwarded. With ``hides_key``, the caller's
    key is not forwarded, and ``account`` is stated instead of what the caller stated.
    """

    server: ServerId
    seconds_left: float
    rank: int | None = None
    adapter_version: int = 0
    resume_after_event_id: str | None = None
    forwards_last_event_id: bool = False
    account: AccountName | None = None
    hides_key: bool = False
