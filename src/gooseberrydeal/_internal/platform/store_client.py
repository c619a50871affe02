"""Access the platform's metadata store over HTTP."""

import base64
import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Final
from urllib.parse import urlencode

from gooseberrydeal._internal.exceptions import (
    LeaseLostError,
    ServerBrokenError,
    ServerUnreachableError,
    StoreHistoryError,
    StoreUnansweredError,
    StoreUnavailableError,
)
from gooseberrydeal._internal.models.ids import LeaseId
from gooseberrydeal._internal.models.routing.http_heads import ResponseHead
from gooseberrydeal._internal.models.routing.store_item import StoreItem, StorePage
from gooseberrydeal._internal.models.routing.store_revision import (
    epoch_of,
    number_of,
    ordered_revision,
)
from gooseberrydeal._internal.network.http1.json_client import JsonClient
from gooseberrydeal._internal.platform.store_codec import (
    decode_item,
    precondition,
    restorations,
)
from gooseberrydeal._internal.utils.json_value import DECODE_ERRORS
from gooseberrydeal._internal.utils.number_range import integer_in

logger = logging.getLogger(__name__)

# A call without a response after this time counts as lost. Responses usually take 4 ms.
_CALL_TIMEOUT_SECONDS: Final = 1.5
# Half of the slowest link, of 5 Mbit/s.
_UPLOAD_BYTES_PER_SECOND: Final = 312_500
# A large response on a slow link arrives with shorter pauses than this.
_STALL_SECONDS: Final = 1.2
_MAX_CONNECTIONS: Final = 4
# A page has up to 1 MB of items; a watch that fell behind returns more.
_MAX_RESPONSE_BYTES: Final = 33_554_432
_MAX_LEASE_NUMBER: Final = 2**63 - 1


@dataclass(frozen=True, slots=True)
class _StoreResponse:
    """Hold a response; ``epoch`` counts how often the store was restored."""

    status: int
    body: Any
    epoch: int


class PlatformStore:
    """Read, watch and write keys; values are sent as base64.

    A time limit of a call counts until its response begins.

    Calls raise :class:`StoreUnavailableError` if nothing was sent or the store
    returned an unexpected response, and :class:`StoreUnansweredError` if no valid
    response came, so that the outcome is unknown.
    """

    def __init__(self, address: str) -> None:
        self._client = JsonClient(address, _MAX_CONNECTIONS, _MAX_RESPONSE_BYTES)
        self._epoch = 0

    async def list(self, prefix: str) -> StorePage:
        """Return all items under a prefix and the store revision of the first page."""
        items: list[StoreItem] = []
        revision: int | None = None
        after: str | None = None
        while True:
            query = {"pathPrefix": prefix}
            if after is not None:
                query["after"] = after
            response = await self._call("GET", f"/-/kv-range?{urlencode(query)}")
            body, epoch = response.body, response.epoch
            with _decoding("a listing"):
                page = [decode_item(item, epoch) for item in body["items"]]
                page_revision = ordered_revision(epoch, int(body["storeRevision"]))
            items += page
            if revision is None:
                revision = page_revision
            elif epoch != epoch_of(revision):
                raise StoreUnavailableError("the store was restored while being listed")
            if not body.get("truncated") or not page:
                return StorePage(tuple(items), revision)
            after = page[-1].key

    async def get(self, key: str) -> StorePage:
        """Return the item of a key, if it exists, and the store revision."""
        response = await self._call(
            "GET",
            f"/-/kv-key?{urlencode({'key': key})}",
            accepted_statuses=(HTTPStatus.NOT_FOUND,),
        )
        body, epoch = response.body, response.epoch
        with _decoding("a read of a key"):
            revision = ordered_revision(epoch, int(body["storeRevision"]))
            if response.status == HTTPStatus.NOT_FOUND:
                return StorePage((), revision)
            return StorePage((decode_item(body, epoch),), revision)

    async def changes(
        self,
        prefix: str,
        after: int,
        wait: float,
        limit: float,
        on_size: Callable[[int], None] = lambda size: None,
    ) -> StorePage:
        """Return the changes after a revision, waiting up to ``wait`` seconds for one.

        The call fails if no response begins ``limit`` seconds after that; ``on_size``
        is called with its size in bytes when it does. Raises
        :class:`StoreHistoryError` if the store no longer has all changes since then.
        """

        def on_head(head: ResponseHead) -> None:
            length = head.first(b"content-length") or b""
            on_size(int(length) if length.isdigit() else 0)

        query = {
            "pathPrefix": prefix,
            "after": number_of(after),
            "waitMs": int(wait * 1000),
        }
        response = await self._call(
            "GET",
            f"/-/kv-watch?{urlencode(query)}",
            seconds=wait + limit,
            accepted_statuses=(HTTPStatus.GONE,),
            on_head=on_head,
        )
        body, epoch = response.body, response.epoch
        if epoch != epoch_of(after):
            raise StoreHistoryError("the store was restored from a copy")
        if response.status == HTTPStatus.GONE:
            raise StoreHistoryError(
                f"the store no longer has the changes after revision {number_of(after)}"
            )
        with _decoding("a watch"):
            items = tuple(decode_item(item, epoch) for item in body["events"])
            revision = ordered_revision(epoch, int(body["storeRevision"]))
        return StorePage(items, revision)

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        if_revision: int | None = None,
        lease: LeaseId | None = None,
    ) -> int | None:
        """Write a key; return its new revision, ``None`` if the precondition failed.

        Raises :class:`LeaseLostError` if the lease has ended.
        """
        row: dict[str, Any] = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "lease": _lease_number(lease) if lease is not None else 0,
        }
        body = {"precondition": precondition(key, if_revision), "puts": [row]}
        response = await self._call(
            "POST",
            "/-/kv-txn",
            {**body, "remove": []},
            seconds=_CALL_TIMEOUT_SECONDS
            + len(row["value"]) / _UPLOAD_BYTES_PER_SECOND,
            accepted_statuses=(HTTPStatus.PRECONDITION_FAILED, HTTPStatus.NOT_FOUND),
        )
        if response.status == HTTPStatus.NOT_FOUND:
            raise LeaseLostError(f"{key} was not written: the lease has ended")
        if response.status == HTTPStatus.PRECONDITION_FAILED:
            return None
        if lease is not None and not _is_of_epoch(lease, response.epoch):
            raise LeaseLostError(f"the lease of {key} was lost: the store was restored")
        with _decoding("a write"):
            return ordered_revision(response.epoch, int(response.body["revision"]))

    async def remove(self, key: str, *, if_revision: int) -> bool:
        """Remove a key if it is still at a revision; return whether it was."""
        response = await self._call(
            "POST",
            "/-/kv-txn",
            {
                "precondition": precondition(key, if_revision),
                "puts": [],
                "remove": [key],
            },
            accepted_statuses=(HTTPStatus.PRECONDITION_FAILED,),
        )
        return response.status == HTTPStatus.OK

    async def grant_lease(self, seconds: float) -> LeaseId:
        """Create a lease that lasts so many seconds unless it is renewed."""
        response = await self._call(
            "POST", "/-/kv-lease", {"ttlMs": int(seconds * 1000)}
        )
        with _decoding("a grant of a lease"):
            number = integer_in(int(response.body["lease"]), 0, _MAX_LEASE_NUMBER)
            return LeaseId(f"{response.epoch}/{number}")

    async def renew_lease(self, lease: LeaseId) -> bool:
        """Renew a lease; return ``False`` if it has already ended."""
        response = await self._call(
            "POST",
            f"/-/kv-keep/{_lease_number(lease)}",
            {},
            accepted_statuses=(HTTPStatus.NOT_FOUND,),
        )
        # A restored store gives out the numbers of lost leases again.
        is_same = _is_of_epoch(lease, response.epoch)
        return response.status == HTTPStatus.OK and is_same

    async def end_lease(self, lease: LeaseId) -> None:
        """End a lease, which removes its keys; do nothing if it has already ended."""
        if not _is_of_epoch(lease, self._epoch):
            return
        await self._call(
            "DELETE",
            f"/-/kv-lease-end/{_lease_number(lease)}",
            accepted_statuses=(HTTPStatus.NOT_FOUND,),
        )

    async def _call(
        self,
        method: str,
        target: str,
        body: object | None = None,
        *,
        seconds: float = _CALL_TIMEOUT_SECONDS,
        accepted_statuses: tuple[HTTPStatus, ...] = (),
        on_head: Callable[[ResponseHead], None] = lambda head: None,
    ) -> _StoreResponse:
        try:
            response = await self._client.call(
                method,
                target,
                body,
                seconds,
                stall_seconds=_STALL_SECONDS,
                on_head=on_head,
            )
        except ServerUnreachableError as error:
            raise StoreUnavailableError(str(error)) from error
        except ServerBrokenError as error:
            raise StoreUnansweredError(str(error)) from error
        epoch = restorations(response.head)
        if epoch is not None and epoch < self._epoch:
            raise StoreUnansweredError("the response precedes the store's restoration")
        self._epoch = self._epoch if epoch is None else epoch
        status = response.status
        is_complete = response.body is not None or method == "DELETE"
        if status in accepted_statuses or (status == HTTPStatus.OK and is_complete):
            return _StoreResponse(status, response.body, self._epoch)
        path = target.partition("?")[0]
        if status == HTTPStatus.OK:
            raise StoreUnansweredError(
                f"the store's response to {method} {path} is not a whole JSON object"
            )
        raise StoreUnavailableError(
            f"the store returned status {status} for {method} {path}"
        )


@contextmanager
def _decoding(call: str) -> Iterator[None]:
    """Turn errors of decoding a response into a call of unknown effect."""
    try:
        yield
    except DECODE_ERRORS as error:
        raise StoreUnansweredError(
            f"the store's response to {call} is malformed: {error!r}"
        ) from error


def _lease_number(lease: LeaseId) -> int:
    return int(lease.rpartition("/")[2])


def _is_of_epoch(lease: LeaseId, epoch: int) -> bool:
    return int(lease.partition("/")[0]) == epoch
