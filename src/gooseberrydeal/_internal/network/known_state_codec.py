"""Encode and decode the record of what hosts know and the metadata store lacks."""

from typing import Any, Final

import cbor2

from gooseberrydeal._internal.exceptions import PeerProtocolError
from gooseberrydeal._internal.models.ids import ServerId
from gooseberrydeal._internal.models.routing.adapter_key import AdapterKey
from gooseberrydeal._internal.models.routing.known_state import (
    ConfigurationSource,
    KnownState,
)

_FORMAT_VERSION: Final = 1
_DECODE_ERRORS: Final = (
    cbor2.CBORError,
    ValueError,
    TypeError,
    IndexError,
    AttributeError,
    OverflowError,
)


def encode_known_state(state: KnownState) -> bytes:
    """Encode a record for the metadata store; versions are grouped by base model."""
    source = state.configuration
    versions: dict[str, dict[str, int]] = {}
    for key, version in state.versions.items():
        versions.setdefault(key.model, {})[key.adapter] = version
    fields = [
        _FORMAT_VERSION,
        state.epoch,
        state.is_settled,
        None if source is None else [source.key, source.value],
        versions,
        dict(state.departed),
    ]
    return cbor2.dumps(fields)


def decode_known_state(data: bytes) -> KnownState:
    """Decode a stored record; raise :class:`PeerProtocolError` if it is malformed."""
    try:
        return _parse(cbor2.loads(data))
    except _DECODE_ERRORS as error:
        raise PeerProtocolError(f"known state is malformed: {error!r}") from error


def _parse(fields: list[Any]) -> KnownState:
    if fields[0] != _FORMAT_VERSION:
        raise ValueError(f"unknown format {fields[0]!r}")
    epoch, is_settled, source, versions, departed = fields[1:6]
    return KnownState(
        int(epoch),
        bool(is_settled),
        None if source is None else ConfigurationSource(str(source[0]), source[1]),
        {
            AdapterKey(str(model), str(adapter)): int(version)
            for model, adapters in versions.items()
            for adapter, version in adapters.items()
        },
        {ServerId(str(server)): int(start) for server, start in departed.items()},
    )
