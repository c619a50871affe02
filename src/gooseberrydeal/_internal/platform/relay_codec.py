"""Decode and encode the header fields of relayed requests and responses."""

import math
import re
from http import HTTPStatus
from typing import Final

from gooseberrydeal._internal.models.ids import AccountName, PromptPartId, RequestId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterKey
from gooseberrydeal._internal.models.routing.forward_facts import ForwardAttributes
from gooseberrydeal._internal.models.routing.http_heads import (
    Header,
    RequestHead,
    ResponseHead,
)
from gooseberrydeal._internal.models.routing.reply_facts import (
    ReportedLoad,
    ResponseAttributes,
)
from gooseberrydeal._internal.models.routing.request_facts import RequestAttributes
from gooseberrydeal._internal.models.routing.slowdown import (
    NORMAL_SLOWDOWN,
    is_plausible_slowdown,
)
from gooseberrydeal._internal.network.http1.framing import end_to_end_headers
from gooseberrydeal._internal.platform import header_names

_DECIMAL_PATTERN: Final = re.compile(rb"[0-9]+(\.[0-9]*)?|\.[0-9]+")
# Longer waits are not distinguished from this one.
_MAX_WAIT_SECONDS: Final = 86_400.0
_EVENT_STREAM: Final = b"text/event-stream"
_TRUE_VALUE: Final = b"1"
_KEY_SCHEME: Final = b"bearer"
_KEY_FIELDS: Final = frozenset({header_names.CREDENTIAL, header_names.ACCOUNT})
# Whole numbers with more digits are not exact as floating-point numbers.
_MAX_DIGITS: Final = 15
# A load field holds the numbers of running and waiting requests and of slots, and
# optionally the time that work takes, in percent of the normal time.
_MIN_LOAD_FIELDS: Final = 3
_MAX_LOAD_FIELDS: Final = 4
_NORMAL_LATENCY_PERCENT: Final = 100.0
# Servers accept some hundred connections, and each holds one request at a time.
_MAX_LOAD_COUNT: Final = 1_000_000
# A server that takes more requests per second has no limit that matters.
_MAX_REQUEST_LIMIT: Final = 1e9
# Priorities range from 0, the most urgent, to this number.
_MAX_PRIORITY_NUMBER: Final = 9


class PlatformRelayCodec:
    """Translate between the platform's header fields and the router's own types."""

    def final_refusal_status(self, *, is_repeatable: bool) -> int:
        """Return a status after which the platform's callers do not try again.

        They repeat a repeatable request after any failure but a few client errors, and
        others only after a status that promises that the request did not run.
        """
        return HTTPStatus.BAD_REQUEST if is_repeatable else HTTPStatus.BAD_GATEWAY

    def read_request(self, head: RequestHead) -> RequestAttributes:
        """Return the routing data of a request; invalid fields count as absent."""
        fields = {name.lower(): value for name, value in head.headers}
        path, _, query = head.target.partition(b"?")
        prompt, output = _parse_integer_pair(fields.get(header_names.TOKEN_COUNTS, b""))
        deadline = _parse_number(fields.get(header_names.DEADLINE))
        resumes = fields.get(header_names.RESUMES)
        return RequestAttributes(
            request_id=RequestId(
                _decode_text(fields.get(header_names.REQUEST_ID, b""))
            ),
            host=_decode_text(fields.get(b"host", b"")).partition(":")[0].lower(),
            path=_decode_text(path),
            time_limit=None if deadline is None else deadline / 1000,
            adapter=_parse_adapter(fields.get(header_names.MODEL)),
            prompt_tokens=prompt,
            output_tokens=output,
            caller=_decode_text(fields.get(header_names.CREDENTIAL, b"")),
            shared_prompt_parts=_parse_shared_parts(
                fields.get(header_names.PROMPT_PARTS, b"")
            ),
            query=_decode_text(query),
            resumes=None if resumes is None else RequestId(_decode_text(resumes)),
            last_event_id=_decode_text(fields.get(header_names.LAST_EVENT_ID, b"")),
            key=_parse_key(head),
        )

    def forward_headers(
        self, head: RequestHead, attributes: ForwardAttributes
    ) -> list[Header]:
        """Return the fields to send to a server: the caller's and those set here.

        Reserved fields that the caller sent are removed.
        """
        removed = header_names.RESERVED_FIELDS
        if attributes.hides_key:
            removed = removed | _KEY_FIELDS
        if (
            not attributes.forwards_last_event_id
            or attributes.resume_after_event_id is not None
        ):
            removed = removed | {header_names.LAST_EVENT_ID}
        fields = [
            (name, value)
            for name, value in end_to_end_headers(head.headers)
            if name.lower() not in removed
        ]
        fields.append(_deadline_field(attributes.seconds_left))
        fields += _account_fields(attributes.account)
        fields.append((b"X-Expect-Instance", attributes.server.encode()))
        if attributes.rank is not None:
            priority = min(_MAX_PRIORITY_NUMBER, max(0, attributes.rank))
            fields.append((b"X-Request-Priority", b"%d" % priority))
        if attributes.adapter_version:
            fields.append((b"X-Expect-Version", b"%d" % attributes.adapter_version))
        if attributes.resume_after_event_id is not None:
            fields.append((b"Last-Event-Id", attributes.resume_after_event_id.encode()))
        return fields

    def peer_headers(
        self,
        head: RequestHead,
        seconds_left: float,
        account: AccountName | None = None,
        *,
        hides_key: bool = False,
    ) -> list[Header]:
        """Return the caller's end-to-end fields, with the time that is left.

        With ``hides_key``, the account is stated instead of the caller's key. Hosts of
        earlier versions forward it to the server.
        """
        removed = frozenset({header_names.DEADLINE})
        if hides_key:
            removed = removed | _KEY_FIELDS
        fields = [
            (name, value)
            for name, value in end_to_end_headers(head.headers)
            if name.lower() not in removed
        ]
        return [*fields, *_account_fields(account), _deadline_field(seconds_left)]

    def read_response(self, head: ResponseHead) -> ResponseAttributes:
        """Return the routing data of a response; an invalid load counts as absent."""
        fields = {name.lower(): value for name, value in head.headers}
        request_id = fields.get(header_names.REQUEST_ID)
        stated_limit = fields.get(header_names.SERVER_LIMIT)
        request_limit = _parse_limit(stated_limit)
        stated_load = fields.get(header_names.INSTANCE_LOAD)
        load = _parse_load(stated_load)
        return ResponseAttributes(
            request_id=None if request_id is None else _decode_text(request_id),
            is_not_run=fields.get(header_names.NOT_EXECUTED, b"").strip() == _TRUE_VALUE
            or head.status == HTTPStatus.MISDIRECTED_REQUEST,
            is_event_stream=_is_event_stream(fields.get(b"content-type", b"")),
            load=load,
            has_invalid_load=stated_load is not None and load is None,
            request_limit=request_limit,
            has_invalid_limit=stated_limit is not None and request_limit is None,
            is_leaving=fields.get(header_names.SERVER_LEAVING, b"").strip()
            == _TRUE_VALUE,
            is_brittle=header_names.SERVER_BRITTLE in fields,
            wait_seconds=_parse_wait(head.status, fields.get(header_names.RETRY_AFTER)),
        )

    def reply_headers(self, head: ResponseHead) -> list[Header]:
        """Return the server's end-to-end fields unchanged."""
        return end_to_end_headers(head.headers)


def _deadline_field(seconds_left: float) -> Header:
    return (b"X-Deadline-Ms", b"%d" % max(1, int(seconds_left * 1000)))


def _account_fields(account: AccountName | None) -> list[Header]:
    return [] if account is None else [(b"X-Tenant", account.encode("latin-1"))]


def _parse_key(head: RequestHead) -> bytes | None:
    """Return a request's key, ``None`` if it has none, empty if it is malformed."""
    values = [v for k, v in head.headers if k.lower() == header_names.CREDENTIAL]
    if not values:
        return None
    scheme, _, key = values[0].strip().partition(b" ")
    is_valid = len(values) == 1 and scheme.lower() == _KEY_SCHEME
    return key.strip() if is_valid else b""


def _is_event_stream(content_type: bytes) -> bool:
    return content_type.partition(b";")[0].strip().lower() == _EVENT_STREAM


def _decode_text(value: bytes) -> str:
    return value.decode("latin-1").strip()


def _parse_number(value: bytes | None) -> int | None:
    digits = b"" if value is None else value.strip()
    if not digits.isdigit() or len(digits) > _MAX_DIGITS:
        return None
    return int(digits)


def _parse_integer_pair(value: bytes) -> tuple[int, int]:
    first, _, second = value.partition(b",")
    numbers = _parse_number(first), _parse_number(second)
    if numbers[0] is None or numbers[1] is None:
        return 0, 0
    return numbers[0], numbers[1]


def _parse_shared_parts(value: bytes) -> tuple[PromptPartId, ...]:
    """Return the ids of all parts of a prompt but the last, each of them once."""
    ids = [pair.partition(":")[0].strip() for pair in _decode_text(value).split(",")]
    named = dict.fromkeys(part_id.lower() for part_id in ids[:-1] if part_id)
    return tuple(PromptPartId(part_id) for part_id in named)


def _parse_adapter(value: bytes | None) -> AdapterKey | None:
    if not value:
        return None
    model, _, adapter = _decode_text(value).partition("/")
    return AdapterKey(model, adapter)


def _parse_decimal(value: bytes | None) -> float | None:
    if value is None or not _DECIMAL_PATTERN.fullmatch(value.strip()):
        return None
    number = float(value)
    return number if math.isfinite(number) else None


def _parse_limit(value: bytes | None) -> float | None:
    limit = _parse_decimal(value)
    return limit if limit is not None and limit <= _MAX_REQUEST_LIMIT else None


def _parse_wait(status: int, value: bytes | None) -> float | None:
    """Return the wait that a server asks for; a date or zero asks for none."""
    if status != HTTPStatus.SERVICE_UNAVAILABLE:
        return None
    seconds = _parse_decimal(value)
    return min(seconds, _MAX_WAIT_SECONDS) if seconds else None


def _parse_load(value: bytes | None) -> ReportedLoad | None:
    """Return a load, ``None`` unless each of its figures is within its range."""
    if value is None:
        return None
    parts = value.split(b",")[:_MAX_LOAD_FIELDS]
    figures = [_parse_decimal(part) for part in parts]
    numbers = [number for number in figures if number is not None]
    if len(numbers) < max(_MIN_LOAD_FIELDS, len(parts)):
        return None
    running, waiting, slots, *latency = numbers
    if max(running, waiting, slots) > _MAX_LOAD_COUNT:
        return None
    slowdown = latency[0] / _NORMAL_LATENCY_PERCENT if latency else NORMAL_SLOWDOWN
    if not is_plausible_slowdown(slowdown):
        return None
    return ReportedLoad(int(running), int(waiting), int(slots), slowdown)
