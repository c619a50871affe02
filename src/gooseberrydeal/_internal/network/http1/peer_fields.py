"""Encode and decode the header fields with which hosts pass requests on.

They are removed from all other messages, so that no caller or server can set them.
"""

from collections.abc import Iterable
from typing import Final
from urllib.parse import quote_from_bytes, unquote_to_bytes

from gooseberrydeal._internal.models.ids import AccountName, HostId, ServerId
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.routing.http_heads import Header
from gooseberrydeal._internal.models.routing.peer_reply import PeerReply
from gooseberrydeal._internal.models.routing.peer_request import (
    MatchedRoute,
    PeerRequest,
)
from gooseberrydeal._internal.models.routing.reply_facts import ResponseAttributes

_HOST: Final = b"gooseberrydeal-host"
_MAX_SERVERS: Final = b"gooseberrydeal-max-servers"
_REFUSAL: Final = b"gooseberrydeal-refusal"
_IN_PROGRESS: Final = b"gooseberrydeal-in-progress"
_LEAVING: Final = b"gooseberrydeal-leaving"
_BRITTLE: Final = b"gooseberrydeal-brittle"
# The name of the client's account in percent-encoding, empty for a request without one.
_ACCOUNT: Final = b"gooseberrydeal-account"
# The revision of the sender's configuration, the digest of the route, and 1 if the
# sender has read the metadata store in time.
_ROUTE: Final = b"gooseberrydeal-route"
# The revision of the configuration by which a host has refused a request.
_REVISION: Final = b"gooseberrydeal-revision"
PEER_FIELDS: Final = frozenset(
    {
        _HOST,
        _MAX_SERVERS,
        _REFUSAL,
        _IN_PROGRESS,
        _LEAVING,
        _BRITTLE,
        _ACCOUNT,
        _ROUTE,
        _REVISION,
    }
)
_ROUTE_PARTS: Final = 3
_MAX_DIGITS: Final = 18


def encode_peer_request(request: PeerRequest) -> list[Header]:
    """Return the fields of a request that is passed on."""
    host = f"{request.host} {request.incarnation}".encode()
    fields = [(_HOST, host), (_MAX_SERVERS, b"%d" % request.max_servers)]
    if request.has_account_field:
        name = (request.account or "").encode()
        fields.append((_ACCOUNT, quote_from_bytes(name).encode()))
    if request.route is not None:
        route = request.route
        value = f"{route.revision} {route.digest} {int(route.is_current)}"
        fields.append((_ROUTE, value.encode()))
    return fields


def decode_peer_request(headers: Iterable[Header]) -> PeerRequest | None:
    """Return who passed a request on, ``None`` if that is missing or malformed."""
    fields = {name.lower(): value for name, value in headers}
    host, _, incarnation = fields.get(_HOST, b"").rpartition(b" ")
    numbers = _number(incarnation), _number(fields.get(_MAX_SERVERS, b""))
    if not host or numbers[0] is None or not numbers[1]:
        return None
    account = unquote_to_bytes(fields.get(_ACCOUNT, b"")).decode("latin-1")
    return PeerRequest(
        HostId(host.decode("latin-1")),
        numbers[0],
        numbers[1],
        AccountName(account) if account else None,
        has_account_field=_ACCOUNT in fields,
        route=_matched_route(fields.get(_ROUTE, b"")),
    )


def refusal_field(reason: RefusalReason) -> Header:
    """Return the field of a reply in which this host refuses a request itself."""
    return (_REFUSAL, reason.value.encode())


def revision_field(revision: int) -> Header:
    """Return the field of a refusal that names the configuration it goes by."""
    return (_REVISION, b"%d" % revision)


def in_progress_field(requests: int) -> Header:
    """Return the field that says how many requests this host serves."""
    return (_IN_PROGRESS, b"%d" % requests)


def leaving_field(server: ServerId, started_at: int) -> Header:
    """Return the field of a reply whose server states that it leaves."""
    return (_LEAVING, f"{server} {started_at}".encode())


def brittle_field() -> Header:
    """Return the field of a reply whose server states that it is brittle."""
    return (_BRITTLE, b"1")


def notice_fields(
    server: ServerId, started_at: int, attributes: ResponseAttributes
) -> list[Header]:
    """Return the fields for what a server states of itself in a response."""
    fields = [leaving_field(server, started_at)] if attributes.is_leaving else []
    return [*fields, brittle_field()] if attributes.is_brittle else fields


def decode_peer_reply(headers: Iterable[Header]) -> PeerReply:
    """Return what a host says of a request; malformed fields count as absent."""
    fields = {name.lower(): value for name, value in headers}
    try:
        refusal = RefusalReason(fields[_REFUSAL].decode("latin-1"))
    except (KeyError, ValueError):
        refusal = None
    server, _, started_at = fields.get(_LEAVING, b"").rpartition(b" ")
    start = _number(started_at)
    leaving = None
    if server and start is not None:
        leaving = ServerId(server.decode("latin-1")), start
    in_progress = _number(fields.get(_IN_PROGRESS, b""))
    revision = _number(fields.get(_REVISION, b""))
    return PeerReply(refusal, in_progress, leaving, _BRITTLE in fields, revision)


def _matched_route(value: bytes) -> MatchedRoute | None:
    """Return how a host has matched a request, ``None`` if that is malformed."""
    parts = value.split(b" ")
    if len(parts) != _ROUTE_PARTS or (revision := _number(parts[0])) is None:
        return None
    return MatchedRoute(revision, parts[1].decode("latin-1"), parts[2] == b"1")


def _number(value: bytes) -> int | None:
    return int(value) if value.isdigit() and len(value) <= _MAX_DIGITS else None
