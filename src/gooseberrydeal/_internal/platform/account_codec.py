"""Decode client accounts, and remove their keys from a configuration document."""

import base64
import json
import logging
import math
from collections import Counter
from typing import Final

from gooseberrydeal._internal.models.ids import AccountName
from gooseberrydeal._internal.models.routing.account_directory import (
    AccountDirectory,
    key_digest,
)
from gooseberrydeal._internal.models.routing.client_account import (
    AccountQuota,
    ClientAccount,
    QuotaUnit,
)
from gooseberrydeal._internal.utils.json_value import (
    DECODE_ERRORS,
    JsonObject,
    parse_integer,
)

logger = logging.getLogger(__name__)

_ACCOUNTS: Final = "tenants"
_KEYS: Final = "apiKeys"
# Replaces the keys in what hosts write to the store: their SHA-256 digests in base64.
_DIGESTS: Final = "keyDigests"
_TOKEN_UNIT: Final = "token_stream"
_DIGEST_BYTES: Final = 32
_MAX_NAME_LENGTH: Final = 200
_MAX_KEY_BYTES: Final = 1_024
_MAX_NUMBER: Final = 1e12
# An account that is not even an object has no name to be logged with.
_UNNAMED: Final = "?"

_DecodedAccount = tuple[ClientAccount, frozenset[bytes]]


def decode_accounts(data: JsonObject) -> AccountDirectory | None:
    """Return the accounts of a configuration, ``None`` if it has none.

    Accounts that are malformed, or that hold a key of another one, are left out.
    """
    items = data.get(_ACCOUNTS)
    if items is None or items == []:
        return None
    if not isinstance(items, list):
        logger.error("the client accounts are not a list; nobody is admitted")
        return AccountDirectory((), {}, skipped=1)
    decoded = [found for item in items if (found := _decode_logged(item))]
    holders = Counter(digest for _, digests in decoded for digest in digests)
    accounts: list[ClientAccount] = []
    by_digest: dict[bytes, ClientAccount] = {}
    for account, digests in decoded:
        if any(holders[digest] > 1 for digest in digests):
            _log_skipped(account.name, "another account has one of its keys")
            continue
        accounts.append(account)
        by_digest.update(dict.fromkeys(digests, account))
    return AccountDirectory(accounts, by_digest, skipped=len(items) - len(accounts))


def without_keys(value: bytes) -> bytes:
    """Return a configuration document with digests in place of its accounts' keys.

    One without accounts is returned unchanged. Raises one of ``DECODE_ERRORS`` if the
    document is not a JSON object.
    """
    data = json.loads(value, parse_int=parse_integer)
    items = data.get(_ACCOUNTS)
    if items is None or items == []:
        return value
    redacted = [_redact(item) for item in items] if isinstance(items, list) else False
    return json.dumps({**data, _ACCOUNTS: redacted}).encode()


def _redact(item: JsonObject) -> JsonObject | None:
    """Return an account without keys; ``None``, which is malformed, for such a one."""
    try:
        account, digests = _decode_account(item)
    except DECODE_ERRORS:
        return None
    encoded = sorted(base64.b64encode(digest).decode() for digest in digests)
    fields = ("priority", "unit", "plainTokens", "ratePerS", "burst")
    known = {field: item[field] for field in fields if field in item}
    return {"name": str(account.name), _DIGESTS: encoded, **known}


def _decode_logged(item: object) -> _DecodedAccount | None:
    try:
        return _decode_account(item)
    except DECODE_ERRORS as error:
        name = item.get("name") if isinstance(item, dict) else None
        _log_skipped(name if _is_name(name) else _UNNAMED, error)
        return None


def _log_skipped(name: object, reason: object) -> None:
    # The reason holds no values, which could be keys.
    logger.warning("client account %r ignored: %s", name, reason)


def _decode_account(item: object) -> _DecodedAccount:
    """Return an account and its keys' digests; raise one of ``DECODE_ERRORS``."""
    if not isinstance(item, dict):
        raise TypeError("it is not an object")
    name = item.get("name")
    if not (isinstance(name, str) and _is_name(name)):
        raise ValueError("its name is not 1 to 200 printable ASCII characters")
    unit = item.get("unit")
    if unit is not None and not isinstance(unit, str):
        raise TypeError("its unit is not a text")
    rank = _number(item, "priority")
    per_second = _number(item, "ratePerS") or 0.0
    quota = None
    burst = _number(item, "burst") or 0.0
    plain_tokens = int(_number(item, "plainTokens") or 0)
    if per_second > 0:
        counted = QuotaUnit.TOKENS if unit == _TOKEN_UNIT else QuotaUnit.REQUESTS
        quota = AccountQuota(per_second, burst, counted, plain_tokens)
    account = ClientAccount(
        AccountName(name), None if rank is None else int(rank), quota
    )
    return account, _decode_keys(item)


def _is_name(name: object) -> bool:
    return (
        isinstance(name, str)
        and 1 <= len(name) <= _MAX_NAME_LENGTH
        and name.isascii()
        and name.isprintable()
    )


def _number(item: JsonObject, field: str) -> float | None:
    value = item.get(field)
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"its {field} is not a number")
    if not (math.isfinite(value) and 0 <= value <= _MAX_NUMBER):
        raise ValueError(f"its {field} is not from 0 to {_MAX_NUMBER:g}")
    return value


def _decode_keys(item: JsonObject) -> frozenset[bytes]:
    """Return the digests of an account's keys."""
    digests = set()
    for key in _texts(item, _KEYS):
        try:
            encoded = key.encode()
        except UnicodeEncodeError:
            # The error's own text holds a part of the key.
            raise ValueError("a key of it is not valid Unicode") from None
        if not 1 <= len(encoded) <= _MAX_KEY_BYTES:
            raise ValueError(f"a key of it is not 1 to {_MAX_KEY_BYTES} bytes long")
        digests.add(key_digest(encoded))
    for text in _texts(item, _DIGESTS):
        digest = base64.b64decode(text, validate=True)
        if len(digest) != _DIGEST_BYTES:
            raise ValueError("a digest of its keys has a wrong length")
        digests.add(digest)
    return frozenset(digests)


def _texts(item: JsonObject, field: str) -> list[str]:
    values = item.get(field)
    if values is None:
        return []
    if not isinstance(values, list) or not all(isinstance(v, str) for v in values):
        raise TypeError(f"its {field} are not a list of texts")
    return values
