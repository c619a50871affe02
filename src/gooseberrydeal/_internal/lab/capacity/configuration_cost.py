"""Measure what a configuration of many adapters costs one node."""

import time
import tracemalloc
from dataclasses import dataclass
from typing import Final

from gooseberrydeal._internal.declarations.deployment import Deployment
from gooseberrydeal._internal.models.messages.revision_offer import RevisionOffer
from gooseberrydeal._internal.policy.configuration_chunks import (
    digest_of,
    raw_entries,
    split,
)
from gooseberrydeal._internal.policy.configuration_follower import (
    ConfigurationFollower,
)

_MEBIBYTE: Final = 1024 * 1024
_VERSIONS_PER_ADAPTER: Final = 2


@dataclass(frozen=True, slots=True)
class ConfigurationCost:
    """Hold sizes and adoption times of a configuration with ``adapters`` adapters."""

    adapters: int
    chunk_megabytes: float
    largest_chunk_kilobytes: float
    held_megabytes: float
    adopt_seconds: float
    change_seconds: float
    changed_chunks: int


def measure_configuration(adapters: int) -> ConfigurationCost:
    """Measure adopting a configuration, then one with a single changed adapter."""
    chunks = _configuration_chunks(adapters, "first")
    changed = _configuration_chunks(adapters, "second")
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    # Copy the chunks, as if received, so that tracemalloc counts their memory.
    received = [bytes(bytearray(chunk)) for chunk in chunks]
    follower = ConfigurationFollower()
    began = time.perf_counter()
    follower.set_target(_offer(1, chunks))
    follower.add(received)
    adopt = time.perf_counter() - began
    memory = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    new_chunks = [c for c in changed if digest_of(c) not in set(map(digest_of, chunks))]
    began = time.perf_counter()
    follower.set_target(_offer(2, changed))
    follower.add(new_chunks)
    change = time.perf_counter() - began
    return ConfigurationCost(
        adapters=adapters,
        chunk_megabytes=round(sum(map(len, chunks)) / _MEBIBYTE, 2),
        largest_chunk_kilobytes=round(max(map(len, chunks)) / 1024, 1),
        held_megabytes=round(memory / _MEBIBYTE, 2),
        adopt_seconds=round(adopt, 3),
        change_seconds=round(change, 3),
        changed_chunks=len(new_chunks),
    )


def _configuration_chunks(
    adapters: int, first_adapter_prefix: str
) -> tuple[bytes, ...]:
    declared = Deployment("capacity")
    declared.limits(loads_per_second=9, loads_at_full_speed=3)
    declared.work_class("short")
    declared.model_service("language", default_class="short")
    for number in range(adapters):
        prefix = first_adapter_prefix if number == 0 else "same"
        declared.adapter(
            f"adapter-{number:05d}",
            service="language",
            base_model="base",
            versions={
                f"v{v}": f"{prefix}/{number}/{v}" for v in range(_VERSIONS_PER_ADAPTER)
            },
        )
    return split(raw_entries(declared.entries))


def _offer(number: int, chunks: tuple[bytes, ...]) -> RevisionOffer:
    return RevisionOffer(number, tuple(map(digest_of, chunks)), str(number), "lab")
