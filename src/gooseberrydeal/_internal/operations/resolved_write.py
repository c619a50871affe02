"""Retry a compare-and-swap until its outcome is known."""

import asyncio
import random
from collections.abc import Callable
from typing import Final

from gooseberrydeal._internal.exceptions import (
    StoreUnansweredError,
    StoreUnavailableError,
)
from gooseberrydeal._internal.models.conditional_write import ConditionalWrite
from gooseberrydeal._internal.models.write_result import WriteResult
from gooseberrydeal._internal.network.interfaces.key_value_store import KeyValueStore

_MAX_ATTEMPTS: Final = 4
_INITIAL_BACKOFF_SECONDS: Final = 0.05


async def write_resolved(
    store: KeyValueStore,
    write: ConditionalWrite,
    is_own: Callable[[bytes], bool],
) -> WriteResult:
    """Commit a write; return whether it was applied, even if a response was lost.

    After a lost response, reading the key back is not enough, since the write may
    still be in flight. It is sent again with the same condition instead, so that at
    most one of the two is applied. If the second one is rejected, ``is_own`` is
    called with the current value and returns whether the first one wrote it, which
    the writer's attempt id shows.

    Raises :class:`StoreUnansweredError` if the outcome stays unknown, and
    :class:`StoreUnavailableError` if the write certainly did not reach the store.
    """
    is_outcome_unknown = False
    for retry_index in range(_MAX_ATTEMPTS):
        try:
            result = (await store.commit([write]))[0]
        except StoreUnansweredError:
            is_outcome_unknown = True
        except StoreUnavailableError:
            if not is_outcome_unknown:
                raise
        else:
            if result.applied or not is_outcome_unknown or result.current is None:
                return result
            if is_own(result.current.value):
                return WriteResult(
                    applied=True, mod_revision=result.current.mod_revision
                )
            return result
        await asyncio.sleep(
            _INITIAL_BACKOFF_SECONDS * 2**retry_index * random.uniform(0.5, 1.5)
        )
    raise StoreUnansweredError(
        "cannot tell whether a write took effect: the store did not answer"
    )
