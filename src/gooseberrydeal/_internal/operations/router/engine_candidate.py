"""Describe engines to the decision where a request is sent."""

from gooseberrydeal._internal.models.ids import DomainName
from gooseberrydeal._internal.models.routing.adapter_key import AdapterCopyKey
from gooseberrydeal._internal.operations.router.server_record import ServerRecord
from gooseberrydeal._internal.policy.engine_choice import EngineCandidate
from gooseberrydeal._internal.policy.serving_estimate import EngineLoad
from gooseberrydeal._internal.policy.speeds.prefill_limit import PrefillLimit


def engine_load(record: ServerRecord, now: float) -> EngineLoad:
    """Describe the load of an engine, going by what this host knows of it."""
    speed = record.speed.current(now)
    return EngineLoad(
        requests=record.load.requests(now),
        pending_prefill_tokens=record.load.pending_prefill_tokens(
            now, speed.prompt_tokens_per_second
        ),
        slowdown=record.load.slowdown(now),
        observed_wait=record.waits.predicted_seconds(now),
        speed=speed,
    )


def engine_candidate(
    record: ServerRecord,
    copy: AdapterCopyKey,
    own_domain: DomainName,
    limit: PrefillLimit,
    now: float,
) -> EngineCandidate:
    """Describe an engine for a request that needs an adapter copy."""
    size = record.service.engine
    event_tokens = size.event_tokens if size is not None else 1
    speed = record.speed.current(now)
    slowdown = max(record.load.slowdown(now), record.speed.recent_slowdown(now))
    return EngineCandidate(
        server=record.id,
        requests=record.load.requests(now),
        tokens=record.load.tokens(now),
        pending_prefill_tokens=record.load.pending_prefill_tokens(
            now, speed.prompt_tokens_per_second
        ),
        batch_size=record.entry.slots,
        token_capacity=size.token_capacity if size is not None else 0,
        slowdown=slowdown,
        is_local=record.entry.domain == own_domain,
        has_model=record.holds_model(copy.model),
        copy=record.copy_state(copy, now),
        ready_in=record.ready_in(copy, now),
        can_load=record.can_load(now),
        accepts_load_orders=record.owner.accepts_load_orders(now),
        is_warm=record.is_warm(copy),
        has_silent_owner=record.owner.is_silent(now),
        pending_prefill_limit=limit.pending_tokens(speed, event_tokens, slowdown),
        failure_rate=record.health.failure_rate(now),
        is_avoided=not record.is_reachable,
        speed=speed,
    )
