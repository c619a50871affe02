"""Decide on a server whose load may be odd."""

import math
import random

from gooseberrydeal._internal.models.ids import DomainName
from gooseberrydeal._internal.models.routing.server_entry import ServerEntry
from gooseberrydeal._internal.operations.router.engine_candidate import (
    engine_candidate,
    engine_load,
)
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.policy.engine_choice import RequestSize, choose_engine
from gooseberrydeal._internal.policy.plain_server_choice import (
    PlainCandidate,
    choose_plain_server,
)
from gooseberrydeal._internal.policy.speeds.prefill_limit import PrefillLimit
from tests.lib.routing_builders import copy_key, service

_DOMAIN = DomainName("d1")
_LIMIT = PrefillLimit(longest_pause=0.4, target_latency=0.8, prompt_tokens=600)


def record_of(entry: ServerEntry) -> ServerRecord:
    """Return the record of an engine that has just registered."""
    return ServerRecord(entry, service(), 100)


def check_decisions(record: ServerRecord, now: float) -> None:
    """Check that all that is decided on a server's load can be compared."""
    item = engine_candidate(record, copy_key(), _DOMAIN, _LIMIT, now)
    load = engine_load(record, now)
    figures = (
        item.cost_seconds(600),
        item.pending_prefill_tokens,
        item.pending_prefill_limit,
        load.wait_seconds(600),
        load.run_seconds(70),
    )
    assert all(math.isfinite(figure) and figure >= 0 for figure in figures)
    choose_engine(copy_key(), RequestSize(600, 700), [item], rng=random.Random(1))
    plain = PlainCandidate(record.id, item.requests, 6, item.slowdown, is_local=True)
    assert choose_plain_server([plain], random.Random(1)) is plain
