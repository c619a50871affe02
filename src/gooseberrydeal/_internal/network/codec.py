"""Encode and decode the messages between peers as CBOR.

Fields are encoded by position, which takes a third of the bytes of encoding them with
their names. A new field must be appended to the end of its class and have a default,
so that old and new processes can exchange messages during a rolling restart.
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
MIN_PROTOCOL_VERSION: Final = 1
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


class _MessageKind(IntEnum):
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


_MESSAGE_CLASSES: Final[dict[_MessageKind, type[Any]]] = {
    _MessageKind.HELLO: Hello,
    _MessageKind.PING: Ping,
    _MessageKind.SUBMIT: Submit,
    _MessageKind.STARTED: Started,
    _MessageKind.TOKENS: Tokens,
    _MessageKind.FINISHED: Finished,
    _MessageKind.REFUSED: Refused,
    _MessageKind.CANCEL: Cancel,
    _MessageKind.CREDIT: Credit,
    _MessageKind.VIEW_UPDATE: ViewUpdate,
    _MessageKind.PERMIT_REQUEST: PermitRequest,
    _MessageKind.PERMIT_GRANT: PermitGrant,
    _MessageKind.REVISION_OFFER: RevisionOffer,
    _MessageKind.CHUNK_REQUEST: ChunkRequest,
    _MessageKind.CHUNK_REPLY: ChunkReply,
    _MessageKind.SUSPECT_NOTICE: SuspectNotice,
    _MessageKind.CLAIM_REQUEST: ClaimRequest,
    _MessageKind.CLAIM_RESULT: ClaimResult,
    _MessageKind.CLAIM_REPLY: ClaimReply,
    _MessageKind.EXPLAIN_REQUEST: ExplainRequest,
    _MessageKind.EXPLAIN_REPLY: ExplainReply,
}
_MESSAGE_KINDS: Final = {cls: kind for kind, cls in _MESSAGE_CLASSES.items()}
_VALIDATORS: Final = {kind: TypeAdapter(cls) for kind, cls in _MESSAGE_CLASSES.items()}
_FIELD_NAMES: Final[dict[type[Any], tuple[str, ...]]] = {}
_NESTED_CLASSES: Final[dict[type[Any], dict[str, type[Any]]]] = {
    ViewUpdate: {
        "hosts": HostReport,
        "servers": ServerReport,
        "slots": SlotsReport,
    },
    SlotsReport: {"copies": CopyReport},
}
_ENVELOPE_LENGTH: Final = 3
_SCALAR_TYPES: Final = frozenset({str, bytes, int, float, bool, type(None)})


def encode(message: Message) -> bytes:
    """Encode a message with its protocol version and kind."""
    kind = _MESSAGE_KINDS[type(message)]
    return cbor2.dumps([PROTOCOL_VERSION, int(kind), _to_cbor_value(message)])


def decode(data: bytes) -> Message | None:
    """Decode a message; return ``None`` if its kind is unknown, as from a newer peer.

    Raises :class:`PeerProtocolError` if the data is not a valid message.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise PeerProtocolError(
            f"message of {len(data)} bytes exceeds the limit of {MAX_MESSAGE_BYTES}"
        )
    try:
        envelope = cbor2.loads(data)
    except (cbor2.CBORError, ValueError, RecursionError, MemoryError) as error:
        raise PeerProtocolError("message is not valid CBOR") from error
    if not isinstance(envelope, list) or len(envelope) != _ENVELOPE_LENGTH:
        raise PeerProtocolError("message is not a list of version, kind and fields")
    version, kind_number, values = envelope
    if not isinstance(version, int) or version < MIN_PROTOCOL_VERSION:
        raise PeerProtocolError(f"protocol version {version!r} is not supported")
    if not isinstance(kind_number, int) or not isinstance(values, list):
        raise PeerProtocolError(
            "message kind is not an integer or its fields are not a list"
        )
    return _decode_fields(kind_number, values)


def _decode_fields(kind_number: int, values: list[Any]) -> Message | None:
    try:
        kind = _MessageKind(kind_number)
    except ValueError:
        return None
    try:
        fields = _fields_by_name(_MESSAGE_CLASSES[kind], values)
        message: Message = _VALIDATORS[kind].validate_python(fields)
    except (ValidationError, TypeError) as error:
        raise PeerProtocolError(
            f"message of kind {kind.name} has invalid fields"
        ) from error
    return message


def _fields_by_name(cls: type[Any], values: object) -> dict[str, Any]:
    """Map the values to field names by position; ignore surplus ones of newer peers."""
    if not isinstance(values, list):
        raise TypeError("message fields are not a list")
    fields = dict(zip(_field_names(cls), values, strict=False))
    for name, nested_class in _NESTED_CLASSES.get(cls, {}).items():
        if isinstance(fields.get(name), list):
            fields[name] = [
                _fields_by_name(nested_class, item) for item in fields[name]
            ]
    return fields


def _field_names(cls: type[Any]) -> tuple[str, ...]:
    names = _FIELD_NAMES.get(cls)
    if names is None:
        names = tuple(field.name for field in dataclasses.fields(cls))
        _FIELD_NAMES[cls] = names
    return names


def _to_cbor_value(value: object) -> object:
    """Convert a message to nested lists of scalars, which CBOR can encode."""
    value_type = type(value)
    if value_type in _SCALAR_TYPES:
        return value
    if value_type is tuple:
        return [_to_cbor_value(item) for item in value]  # type: ignore[attr-defined]
    return [
        item if type(item) in _SCALAR_TYPES else _to_cbor_value(item)
        for item in map(value.__getattribute__, _field_names(value_type))
    ]
