"""Define distinct types for names, ids and numbers."""

from typing import NewType

AccountName = NewType("AccountName", str)
AdapterName = NewType("AdapterName", str)
VersionName = NewType("VersionName", str)
CallerName = NewType("CallerName", str)
ClassName = NewType("ClassName", str)
DomainName = NewType("DomainName", str)
EntryKey = NewType("EntryKey", str)
HostId = NewType("HostId", str)
LeaseId = NewType("LeaseId", str)
OperationName = NewType("OperationName", str)
PromptPartId = NewType("PromptPartId", str)
RequestId = NewType("RequestId", str)
ServerId = NewType("ServerId", str)
ServiceName = NewType("ServiceName", str)
SoftwareVersion = NewType("SoftwareVersion", str)
StreamId = NewType("StreamId", int)
FencingNumber = NewType("FencingNumber", int)
RevisionNumber = NewType("RevisionNumber", int)
