"""Turn messages into CBOR and back.

Fields travel by position, which takes a third of the bytes of named ones. A new field
goes to the end of its class and has a default, so that old and new processes
understand each other during a rolling restart.
"""

import dataclasses
from enum import IntEnum
from typing import Any, Final

import cbor2
from pydantic import TypeAdapter, ValidationError

from gooseberrydeal._internal.exceptions import PeerProtocolError
from gooseberrydeal._internal.models.messages.cancel import Cancel
from gooseberrydeal._internal.models.messages.chunk_reply import ChunkReply
from gooseberrydeal._internal.models.messages.chunk_request import ChunkRequest
from gooseberrydeal._internal.models.messages.claim_reply import ClaimReply
from gooseberrydeal._internal.models.messages.claim_request import ClaimRequest
from gooseberrydeal._internal.models.messages.claim_result import ClaimResult
from gooseberrydeal._internal.models.messages.copy_report import CopyReport
from gooseberrydeal._internal.models.messages.credit import Credit
from gooseberrydeal._internal.models.messages.explain_reply import ExplainReply
from gooseberrydeal._internal.models.messages.explain_request import ExplainRequest
from gooseberrydeal._internal.models.messages.finished import Finished
from gooseberrydeal._internal.models.messages.hello import Hello
from gooseberrydeal._internal.models.messages.host_report import HostReport
from gooseberrydeal._internal.models.messages.permit_grant import PermitGrant
from gooseberrydeal._internal.models.messages.permit_request import PermitRequest
from gooseberrydeal._internal.models.messages.ping import Ping
from gooseberrydeal._internal.models.messages.refused import Refused
from gooseberrydeal._internal.models.messages.revision_offer import RevisionOffer
from gooseberrydeal._internal.models.messages.server_report import ServerReport
from gooseberrydeal._internal.models.messages.slots_report import SlotsReport
from gooseberrydeal._internal.models.messages.started import Started
from gooseberrydeal._internal.models.messages.submit import Submit
from gooseberrydeal._internal.models.messages.suspect_notice import SuspectNotice
from gooseberrydeal._internal.models.messages.tokens import Tokens
from gooseberrydeal._internal.models.messages.view_update import ViewUpdate

PROTOCOL_VERSION: Final = 1
OLDEST_VERSION: Final = 1
MAX_MESSAGE_BYTES: Final = 8 * 1024 * 1024

Message = (
    Cancel
    | ChunkReply
    | ChunkRequest
    | ClaimReply
    | ClaimRequest
    | ClaimResult
    | Credit
    | ExplainReply
    | ExplainRequest
    | Finished
    | Hello
    | PermitGrant
    | PermitRequest
    | Ping
    | Refused
    | RevisionOffer
    | Started
    | Submit
    | SuspectNotice
    | Tokens
    | ViewUpdate
)


class _Kind(IntEnum):
    HELLO = 1
    PING = 2
    SUBMIT = 3
    STARTED = 4
    TOKENS = 5
    FINISHED = 6
    REFUSED = 7
    CANCEL = 8
    CREDIT = 9
    VIEW_UPDATE = 10
    PERMIT_REQUEST = 11
    PERMIT_GRANT = 12
    REVISION_OFFER = 13
    CHUNK_REQUEST = 14
    CHUNK_REPLY = 15
    SUSPECT_NOTICE = 16
    CLAIM_REQUEST = 17
    CLAIM_RESULT = 18
    CLAIM_REPLY = 19
    EXPLAIN_REQUEST = 20
    EXPLAIN_REPLY = 21


_CLASSES: Final[dict[_Kind, type[Any]]] = {
    _Kind.HELLO: Hello,
    _Kind.PING: Ping,
    _Kind.SUBMIT: Submit,
    _Kind.STARTED: Started,
    _Kind.TOKENS: Tokens,
    _Kind.FINISHED: Finished,
    _Kind.REFUSED: Refused,
    _Kind.CANCEL: Cancel,
    _Kind.CREDIT: Credit,
    _Kind.VIEW_UPDATE: ViewUpdate,
    _Kind.PERMIT_REQUEST: PermitRequest,
    _Kind.PERMIT_GRANT: PermitGrant,
    _Kind.REVISION_OFFER: RevisionOffer,
    _Kind.CHUNK_REQUEST: ChunkRequest,
    _Kind.CHUNK_REPLY: ChunkReply,
    _Kind.SUSPECT_NOTICE: SuspectNotice,
    _Kind.CLAIM_REQUEST: ClaimRequest,
    _Kind.CLAIM_RESULT: ClaimResult,
    _Kind.CLAIM_REPLY: ClaimReply,
    _Kind.EXPLAIN_REQUEST: ExplainRequest,
    _Kind.EXPLAIN_REPLY: ExplainReply,
}
_KINDS: Final = {cls: kind for kind, cls in _CLASSES.items()}
_VALIDATORS: Final = {kind: TypeAdapter(cls) for kind, cls in _CLASSES.items()}
_FIELDS: Final[dict[type[Any], tuple[str, ...]]] = {}
_NESTED: Final[dict[type[Any], dict[str, type[Any]]]] = {
    ViewUpdate: {
        "hosts": HostReport,
        "servers": ServerReport,
        "slots": SlotsReport,
    },
    SlotsReport: {"copies": CopyReport},
}
_ENVELOPE_PARTS: Final = 3
_SCALARS: Final = frozenset({str, bytes, int, float, bool, type(None)})


def encode(message: Message) -> bytes:
    """Return the CBOR bytes of a message."""
    kind = _KINDS[type(message)]
    return cbor2.dumps([PROTOCOL_VERSION, int(kind), _plain(message)])


def decode(data: bytes) -> Message | None:
    """Return the message, or ``None`` for a kind that only newer peers know.

    Raises :class:`PeerProtocolError` for anything that is not a valid message.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise PeerProtocolError(f"message of {len(data)} bytes is too long")
    try:
        envelope = cbor2.loads(data)
    except (cbor2.CBORError, ValueError, RecursionError, MemoryError) as error:
        raise PeerProtocolError("message is not CBOR") from error
    if not isinstance(envelope, list) or len(envelope) != _ENVELOPE_PARTS:
        raise PeerProtocolError("message is not an envelope of three parts")
    version, number, values = envelope
    if not isinstance(version, int) or version < OLDEST_VERSION:
        raise PeerProtocolError(f"protocol version {version!r} is not supported")
    if not isinstance(number, int) or not isinstance(values, list):
        raise PeerProtocolError("message has no kind or no fields")
    return _validated(number, values)


def _validated(number: int, values: list[Any]) -> Message | None:
    try:
        kind = _Kind(number)
    except ValueError:
        return None
    try:
        named = _named(_CLASSES[kind], values)
        message: Message = _VALIDATORS[kind].validate_python(named)
    except (ValidationError, TypeError) as error:
        raise PeerProtocolError(f"message of kind {kind.name} is malformed") from error
    return message


def _named(cls: type[Any], values: object) -> dict[str, Any]:
    """Name the values by position; those that only newer peers know are left out."""
    if not isinstance(values, list):
        raise TypeError("fields are not a list")
    named = dict(zip(_field_names(cls), values, strict=False))
    for name, inner in _NESTED.get(cls, {}).items():
        if isinstance(named.get(name), list):
            named[name] = [_named(inner, item) for item in named[name]]
    return named


def _field_names(cls: type[Any]) -> tuple[str, ...]:
    names = _FIELDS.get(cls)
    if names is None:
        names = tuple(field.name for field in dataclasses.fields(cls))
        _FIELDS[cls] = names
    return names


def _plain(value: object) -> object:
    kind = type(value)
    if kind in _SCALARS:
        return value
    if kind is tuple:
        return [_plain(item) for item in value]  # type: ignore[attr-defined]
    return [
        item if type(item) in _SCALARS else _plain(item)
        for item in map(value.__getattribute__, _field_names(kind))
    ]
