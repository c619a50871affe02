"""Turn a checked request into an order."""

from collections import OrderedDict
from hashlib import blake2b
from typing import Final
from uuid import uuid4

from starlette.requests import Request

from gooseberrydeal._internal.models.adapter_ref import AdapterRef
from gooseberrydeal._internal.models.caller import Caller
from gooseberrydeal._internal.models.configuration import Configuration
from gooseberrydeal._internal.models.ids import (
    AdapterName,
    CallerName,
    ClassName,
    OperationName,
    RequestId,
    ServiceName,
    VersionName,
)
from gooseberrydeal._internal.models.refusal_reason import RefusalReason
from gooseberrydeal._internal.models.work_class import WorkClass
from gooseberrydeal._internal.models.work_order import WorkOrder
from gooseberrydeal._internal.operations.entry.entry_context import EntryContext
from gooseberrydeal._internal.operations.entry.model_request import ModelRequest
from gooseberrydeal._internal.operations.entry.refused_error import RefusedError

CLASS_HEADER: Final = "x-work-class"
DEADLINE_HEADER: Final = "x-deadline-seconds"
_MOST_DEADLINE_SECONDS: Final = 600.0
_KEPT_LENGTHS: Final = 8192
_SMOOTHING: Final = 0.2
_DIGEST_BYTES: Final = 16


class OrderBuilder:
    """Resolve names, versions, classes and deadlines once, before anything is sent."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._lengths: OrderedDict[str, float] = OrderedDict()

    def resolve(self, name: str, configuration: Configuration) -> AdapterRef:
        """Return the adapter and version that a model name stands for."""
        plain, at, wanted = name.partition("@")
        alias = configuration.alias(plain)
        version: str | None = wanted if at else None
        if alias is not None:
            plain = alias.adapter
            version = version or alias.version
        adapter = configuration.adapter(plain)
        if adapter is None:
            raise RefusedError.not_run(
                RefusalReason.UNKNOWN_MODEL, f"no adapter or alias is named {name}"
            )
        version = version or adapter.default_version
        if version not in [item.name for item in adapter.versions]:
            raise RefusedError.not_run(
                RefusalReason.UNKNOWN_MODEL, f"{plain} has no version {version}"
            )
        return AdapterRef(AdapterName(plain), VersionName(version))

    def for_model(
        self,
        request: Request,
        caller: Caller,
        checked: ModelRequest,
        adapter: AdapterRef,
        configuration: Configuration,
    ) -> WorkOrder:
        """Return the order for a completion."""
        declared = configuration.adapter(adapter.name)
        assert declared is not None
        service = configuration.service(declared.service)
        assert service is not None
        work_class = self._class(request, configuration, service.default_class)
        body = checked.engine_body()
        is_chat = checked.messages is not None
        self._context.demand.note_request(str(adapter), self._context.clock.monotonic())
        return WorkOrder(
            request_id=RequestId(uuid4().hex),
            caller=CallerName(caller.name),
            service=ServiceName(declared.service),
            call="chat" if is_chat else "completion",
            work_class=ClassName(work_class.name),
            deadline=self._deadline(request, work_class),
            expected_tokens=self.expected_tokens(
                adapter, checked.token_limit, work_class
            ),
            body=body,
            is_repeatable=True,
            adapter=adapter,
            fingerprint=_fingerprint(str(adapter), body),
            affinity=_fingerprint(caller.name, checked.prefix.encode()),
        )

    def for_call(
        self,
        request: Request,
        caller: Caller,
        service: str,
        operation: str,
        body: bytes,
        configuration: Configuration,
    ) -> WorkOrder:
        """Return the order for a call of a plain service."""
        found = configuration.service(service)
        if found is None or found.type != "plain":
            raise RefusedError.not_run(
                RefusalReason.UNKNOWN_SERVICE, f"no plain service is named {service}"
            )
        declared = configuration.operation(service, operation)
        if declared is None:
            raise RefusedError.not_run(
                RefusalReason.UNKNOWN_OPERATION, f"{service} has no {operation}"
            )
        work_class = self._class(request, configuration, declared.work_class)
        is_repeatable = declared.repeatable
        fingerprint = _fingerprint(f"{service}/{operation}", body)
        return WorkOrder(
            request_id=RequestId(uuid4().hex),
            caller=CallerName(caller.name),
            service=ServiceName(service),
            call="plain",
            work_class=ClassName(work_class.name),
            deadline=self._deadline(request, work_class),
            expected_tokens=1,
            body=body,
            is_repeatable=is_repeatable,
            operation=OperationName(operation),
            content_type=request.headers.get("content-type", "application/json"),
            fingerprint=fingerprint if is_repeatable else "",
        )

    def note_length(self, adapter: AdapterRef, work_class: str, tokens: int) -> None:
        """Learn how long the answers of an adapter are."""
        key = f"{adapter}|{work_class}"
        known = self._lengths.pop(key, float(tokens))
        self._lengths[key] = known + _SMOOTHING * (tokens - known)
        if len(self._lengths) > _KEPT_LENGTHS:
            self._lengths.popitem(last=False)

    def expected_tokens(
        self, adapter: AdapterRef, limit: int, work_class: WorkClass
    ) -> int:
        """Estimate the length of an answer from what was seen of its adapter."""
        seen = self._lengths.get(f"{adapter}|{work_class.name}")
        expected = work_class.expected_tokens if seen is None else seen
        return max(1, min(limit, round(expected)))

    def _class(
        self, request: Request, configuration: Configuration, default: str
    ) -> WorkClass:
        name = request.headers.get(CLASS_HEADER, default)
        if not configuration.has_class(name):
            raise RefusedError.not_run(
                RefusalReason.BAD_REQUEST, f"no work class is named {name}"
            )
        return configuration.work_class(name)

    def _deadline(self, request: Request, work_class: WorkClass) -> float:
        text = request.headers.get(DEADLINE_HEADER)
        seconds = work_class.deadline_seconds
        if text is not None:
            seconds = _seconds(text)
        return self._context.clock.monotonic() + seconds


def _seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError as error:
        raise RefusedError.not_run(
            RefusalReason.BAD_REQUEST, f"{DEADLINE_HEADER} is not a number"
        ) from error
    if not 0 < seconds <= _MOST_DEADLINE_SECONDS:
        raise RefusedError.not_run(
            RefusalReason.BAD_REQUEST,
            f"{DEADLINE_HEADER} is not between 0 and {_MOST_DEADLINE_SECONDS:.0f}",
        )
    return seconds


def _fingerprint(scope: str, body: bytes) -> str:
    digest = blake2b(scope.encode() + b"\0" + body, digest_size=_DIGEST_BYTES)
    return digest.hexdigest()
