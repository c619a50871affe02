"""Create attempts."""

from gooseberrydeal._internal.models.messages.submit import Submit
from gooseberrydeal._internal.models.placement import Placement
from gooseberrydeal._internal.models.work_order import WorkOrder
from gooseberrydeal._internal.operations.entry.attempt import Attempt
from gooseberrydeal._internal.operations.entry.entry_context import EntryContext
from gooseberrydeal._internal.operations.entry.remote_streams import RemoteStreams


class Attempts:
    """Create an attempt from a work order and a placement."""

    def __init__(self, context: EntryContext, streams: RemoteStreams) -> None:
        self._context = context
        self._streams = streams

    def make(self, order: WorkOrder, placement: Placement, offset: int = 0) -> Attempt:
        """Return an attempt that is yet to be sent.

        ``offset`` is the number of tokens that the caller has already received.
        """
        now = self._context.clock.monotonic()
        adapter = order.adapter
        submit = Submit(
            stream=self._streams.next_number(),
            request_id=order.request_id,
            server=placement.server,
            service=order.service,
            call=order.call,
            caller=order.caller,
            work_class=order.work_class,
            deadline_left=order.deadline - now,
            expected_tokens=order.expected_tokens,
            body=order.body,
            repeatable=order.is_repeatable,
            adapter=adapter.name if adapter is not None else "",
            version=adapter.version if adapter is not None else "",
            operation=order.operation,
            content_type=order.content_type,
            fingerprint=order.fingerprint,
            offset=offset,
            demand=self._fleet_demand(order),
        )
        return Attempt(self._streams, submit, placement)

    def _fleet_demand(self, order: WorkOrder) -> float:
        """Estimate the demand for the adapter over all entries, in requests per second.

        The load balancer in front of the entries distributes requests evenly, so this
        is the demand at this entry multiplied by the number of live hosts.
        """
        if order.adapter is None:
            return 0.0
        now = self._context.clock.monotonic()
        entry_count = max(1, len(self._context.view.live_hosts(now)))
        return self._context.demand.rate(str(order.adapter), now) * entry_count
