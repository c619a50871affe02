"""Turn a job into what its engine is asked."""

import json

from gooseberrydeal._internal.models.engine_request import EngineRequest
from gooseberrydeal._internal.operations.keeper.job import Job


def engine_request(job: Job, copy: str, priority: int) -> EngineRequest:
    """Return the request for a copy, from the first token not sent yet."""
    return EngineRequest(
        request_id=job.item.request_id,
        copy=copy,
        is_chat=job.submit.call == "chat",
        parameters=json.loads(job.submit.body),
        priority=priority,
        offset=job.stream.tokens_sent,
    )
