"""Create work orders from validated requests."""

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
_MAX_DEADLINE_SECONDS: Final = 600.0
# The least recently updated averages beyond this number are dropped.
_MAX_AVERAGES: Final = 8192
# The weight of the newest answer in the moving average of answer lengths.
_SMOOTHING_FACTOR: Final = 0.2
_DIGEST_BYTES: Final = 16
_OLD_HTTP_VERSION: Final = "1.0"


class OrderBuilder:
    """Create work orders, and keep the average answer length of each adapter.

    Names, versions, work classes and deadlines are resolved once, before the first
    attempt, so that all attempts use the same ones.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._average_tokens: OrderedDict[str, float] = OrderedDict()

    def resolve(self, name: str, configuration: Configuration) -> AdapterRef:
        """Return the adapter and version for a model name.

        The name is that of an adapter or alias, optionally followed by ``@VERSION``.
        The requested version takes precedence over the alias's version, which takes
        precedence over the adapter's default version. Raises :class:`RefusedError` if
        the adapter or version is not declared.
        """
        base_name, separator, requested_version = name.partition("@")
        alias = configuration.alias(base_name)
        version: str | None = requested_version if separator else None
        if alias is not None:
            base_name = alias.adapter
            version = version or alias.version
        adapter = configuration.adapter(base_name)
        if adapter is None:
            raise RefusedError.not_run(
                RefusalReason.UNKNOWN_MODEL, f"no adapter or alias is named {name}"
            )
        version = version or adapter.default_version
        if version not in [item.name for item in adapter.versions]:
            raise RefusedError.not_run(
                RefusalReason.UNKNOWN_MODEL, f"{base_name} has no version {version}"
            )
        return AdapterRef(AdapterName(base_name), VersionName(version))

    def for_model(
        self,
        request: Request,
        caller: Caller,
        parsed: ModelRequest,
        adapter: AdapterRef,
        configuration: Configuration,
    ) -> WorkOrder:
        """Return the order for a text or chat completion.

        Raises :class:`RefusedError` for a stream over HTTP/1.0, which has no chunks.
        """
        if parsed.stream and request.scope["http_version"] == _OLD_HTTP_VERSION:
            raise RefusedError.not_run(
                RefusalReason.UNSUPPORTED, "a stream needs HTTP/1.1"
            )
        declared = configuration.adapter(adapter.name)
        assert declared is not None
        service = configuration.service(declared.service)
        assert service is not None
        work_class = self._select_work_class(
            request, configuration, service.default_class
        )
        body = parsed.engine_body()
        is_chat = parsed.messages is not None
        self._context.demand.note_request(str(adapter), self._context.clock.monotonic())
        return WorkOrder(
            request_id=RequestId(uuid4().hex),
            caller=CallerName(caller.name),
            service=ServiceName(declared.service),
            call="chat" if is_chat else "completion",
            work_class=ClassName(work_class.name),
            deadline=self._deadline(request, work_class),
            expected_tokens=self.expected_tokens(
                adapter, parsed.token_limit, work_class
            ),
            body=body,
            is_repeatable=True,
            adapter=adapter,
            fingerprint=_fingerprint(str(adapter), body),
            affinity=_fingerprint(caller.name, parsed.prompt_prefix.encode()),
        )

    def for_plain_call(
        self,
        request: Request,
        caller: Caller,
        service: str,
        operation: str,
        body: bytes,
        configuration: Configuration,
    ) -> WorkOrder:
        """Return the order for a call of a plain service.

        Raises :class:`RefusedError` if the service or operation is not declared.
        """
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
        work_class = self._select_work_class(
            request, configuration, declared.work_class
        )
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
        """Add an answer to the average length for its adapter and work class."""
        key = f"{adapter}|{work_class}"
        average = self._average_tokens.pop(key, float(tokens))
        self._average_tokens[key] = average + _SMOOTHING_FACTOR * (tokens - average)
        if len(self._average_tokens) > _MAX_AVERAGES:
            self._average_tokens.popitem(last=False)

    def expected_tokens(
        self, adapter: AdapterRef, limit: int, work_class: WorkClass
    ) -> int:
        """Return the expected length of an answer in tokens, from 1 to ``limit``.

        It is the average of earlier answers or, without any, the default of the work
        class.
        """
        average = self._average_tokens.get(f"{adapter}|{work_class.name}")
        expected = work_class.expected_tokens if average is None else average
        return max(1, min(limit, round(expected)))

    def _select_work_class(
        self, request: Request, configuration: Configuration, default: str
    ) -> WorkClass:
        name = request.headers.get(CLASS_HEADER, default)
        if not configuration.has_class(name):
            raise RefusedError.not_run(
                RefusalReason.BAD_REQUEST, f"no work class is named {name}"
            )
        return configuration.work_class(name)

    def _deadline(self, request: Request, work_class: WorkClass) -> float:
        """Return the deadline as monotonic time in seconds."""
        text = request.headers.get(DEADLINE_HEADER)
        seconds = work_class.deadline_seconds
        if text is not None:
            seconds = _parse_deadline(text)
        return self._context.clock.monotonic() + seconds


def _parse_deadline(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError as error:
        raise RefusedError.not_run(
            RefusalReason.BAD_REQUEST, f"{DEADLINE_HEADER} is not a number"
        ) from error
    if not 0 < seconds <= _MAX_DEADLINE_SECONDS:
        raise RefusedError.not_run(
            RefusalReason.BAD_REQUEST,
            f"{DEADLINE_HEADER} is not between 0 and {_MAX_DEADLINE_SECONDS:.0f}",
        )
    return seconds


def _fingerprint(scope: str, body: bytes) -> str:
    digest = blake2b(scope.encode() + b"\0" + body, digest_size=_DIGEST_BYTES)
    return digest.hexdigest()
