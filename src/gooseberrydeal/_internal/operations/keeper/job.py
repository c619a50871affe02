"""Define a request that a keeper has accepted for one of its servers."""

import asyncio
from dataclasses import dataclass, field

from gooseberrydeal._internal.models.messages.submit import Submit
from gooseberrydeal._internal.models.work_item import WorkItem
from gooseberrydeal._internal.network.served_stream import ServedStream


@dataclass(eq=False)
class Job:
    """Combine a queue item with the stream that carries its response.

    ``waited_for_load`` is set if the job has to wait for an adapter load.
    ``has_started`` is set just before the request is sent to the server, ``is_alone``
    when a suspect is selected to run alone. ``task`` runs the started job.
    """

    item: WorkItem
    submit: Submit
    stream: ServedStream
    waited_for_load: bool = False
    has_started: bool = False
    is_alone: bool = False
    task: asyncio.Task[None] | None = field(default=None, repr=False)
