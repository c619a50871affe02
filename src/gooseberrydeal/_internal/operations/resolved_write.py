"""Write with compare-and-swap and resolve lost answers."""

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

_TRIES: Final = 4
_PAUSE_SECONDS: Final = 0.05


async def write_resolved(
    store: KeyValueStore,
    write: ConditionalWrite,
    is_own: Callable[[bytes], bool],
) -> WriteResult:
    """Return whether a write applied, even if its answer was lost.

    A lost answer is neither assumed nor merely read back, since the write might
    still be on its way: it is sent again on the same condition, so that one of the
    two applies at most, and ``is_own`` recognises it by its attempt id. Raises
    :class:`StoreUnansweredError` if the outcome stays unknown.
    """
    is_unanswered = False
    for number in range(_TRIES):
        try:
            result = (await store.commit([write]))[0]
        except StoreUnansweredError:
            is_unanswered = True
        except StoreUnavailableError:
            if not is_unanswered:
                raise
        else:
            if result.applied or not is_unanswered or result.current is None:
                return result
            if is_own(result.current.value):
                return WriteResult(
                    applied=True, mod_revision=result.current.mod_revision
                )
            return result
        await asyncio.sleep(_PAUSE_SECONDS * 2**number * random.uniform(0.5, 1.5))
    raise StoreUnansweredError("the outcome of a write is not known")
