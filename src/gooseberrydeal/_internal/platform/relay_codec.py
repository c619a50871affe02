"""Translate the header fields of the request path."""

from http import HTTPStatus
from typing import Final

from gooseberrydeal._internal.models.ids import RequestId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterKey
from gooseberrydeal._internal.models.routing.forward_facts import ForwardFacts
from gooseberrydeal._internal.models.routing.http_heads import (
    Header,
    RequestHead,
    ResponseHead,
)
from gooseberrydeal._internal.models.routing.reply_facts import (
    ReplyFacts,
    ReportedLoad,
)
from gooseberrydeal._internal.models.routing.request_facts import RequestFacts
from gooseberrydeal._internal.network.http1.framing import end_to_end
from gooseberrydeal._internal.platform import header_names as names

_EVENT_STREAM: Final = b"text/event-stream"
_TRUE: Final = b"1"
_LOAD_FIGURES: Final = 3
_USUAL_PACE: Final = 100.0
_HIGHEST_PRIORITY: Final = 9


class PlatformRelayCodec:
    """Read and write the platform's header fields."""

    def read_request(self, head: RequestHead) -> RequestFacts:
        """Return what a caller asks for; unreadable fields count as absent."""
        fields = {name.lower(): value for name, value in head.headers}
        path = head.target.partition(b"?")[0]
        prompt, output = _integers(fields.get(names.TOKEN_COUNTS, b""))
        deadline = _number(fields.get(names.DEADLINE))
        return RequestFacts(
            request_id=RequestId(_text(fields.get(names.REQUEST_ID, b""))),
            host=_text(fields.get(b"host", b"")).partition(":")[0].lower(),
            path=_text(path),
            time_limit=None if deadline is None else deadline / 1000,
            adapter=_adapter(fields.get(names.MODEL)),
            prompt_tokens=prompt,
            output_tokens=output,
        )

    def forward_headers(self, head: RequestHead, facts: ForwardFacts) -> list[Header]:
        """Return the caller's fields and the system's own."""
        replaced = names.SYSTEM_FIELDS
        if not facts.forwards_last_event_id or facts.resume_after_event_id is not None:
            replaced = replaced | {names.LAST_EVENT}
        fields = [
            (name, value)
            for name, value in end_to_end(head.headers)
            if name.lower() not in replaced
        ]
        left = max(1, int(facts.seconds_left * 1000))
        fields.append((b"X-Deadline-Ms", b"%d" % left))
        fields.append((b"X-Expect-Instance", facts.server.encode()))
        if facts.rank is not None:
            priority = min(_HIGHEST_PRIORITY, max(0, facts.rank))
            fields.append((b"X-Request-Priority", b"%d" % priority))
        if facts.adapter_version:
            fields.append((b"X-Expect-Version", b"%d" % facts.adapter_version))
        if facts.resume_after_event_id is not None:
            fields.append((b"Last-Event-Id", facts.resume_after_event_id.encode()))
        return fields

    def read_reply(self, head: ResponseHead) -> ReplyFacts:
        """Return what a server's response says."""
        fields = {name.lower(): value for name, value in head.headers}
        request_id = fields.get(names.REQUEST_ID)
        return ReplyFacts(
            request_id=None if request_id is None else _text(request_id),
            is_not_run=fields.get(names.NOT_RUN, b"").strip() == _TRUE
            or head.status == HTTPStatus.MISDIRECTED_REQUEST,
            is_event_stream=fields.get(b"content-type", b"").startswith(_EVENT_STREAM),
            load=_load(fields.get(names.LOAD)),
        )

    def reply_headers(self, head: ResponseHead) -> list[Header]:
        """Return the server's fields as they are."""
        return end_to_end(head.headers)


def _text(value: bytes) -> str:
    return value.decode("latin-1").strip()


def _number(value: bytes | None) -> float | None:
    if value is None or not value.strip().isdigit():
        return None
    return float(value)


def _integers(value: bytes) -> tuple[int, int]:
    first, _, second = value.partition(b",")
    if not first.strip().isdigit() or not second.strip().isdigit():
        return 0, 0
    return int(first), int(second)


def _adapter(value: bytes | None) -> AdapterKey | None:
    if not value:
        return None
    model, _, adapter = _text(value).partition("/")
    return AdapterKey(model, adapter)


def _load(value: bytes | None) -> ReportedLoad | None:
    if value is None:
        return None
    figures = value.split(b",")
    if len(figures) < _LOAD_FIGURES:
        return None
    try:
        running, waiting, slots, *rest = [float(figure) for figure in figures]
    except ValueError:
        return None
    pace = rest[0] / _USUAL_PACE if rest else 1.0
    return ReportedLoad(int(running), int(waiting), int(slots), pace)
