"""Describe a request at its owner."""

import asyncio
from dataclasses import dataclass, field

from gooseberrydeal._internal.models.messages.submit import Submit
from gooseberrydeal._internal.models.work_item import WorkItem
from gooseberrydeal._internal.network.served_stream import ServedStream


@dataclass(eq=False)
class Job:
    """Join a queued item with the stream that waits for its answer."""

    item: WorkItem
    submit: Submit
    stream: ServedStream
    waited_for_load: bool = False
    has_started: bool = False
    is_alone: bool = False
    task: asyncio.Task[None] | None = field(default=None, repr=False)
