"""Build engine requests from jobs."""

import json

from gooseberrydeal._internal.models.engine_request import EngineRequest
from gooseberrydeal._internal.operations.keeper.job import Job


def engine_request(job: Job, copy: str, priority: int) -> EngineRequest:
    """Return the request that runs a job on a loaded adapter copy.

    Its offset is the number of tokens that the caller already has, so that a resumed
    stream continues with the next one.
    """
    return EngineRequest(
        request_id=job.item.request_id,
        copy=copy,
        is_chat=job.submit.call == "chat",
        parameters=json.loads(job.submit.body),
        priority=priority,
        offset=job.stream.tokens_sent,
    )
