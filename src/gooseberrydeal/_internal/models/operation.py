"""Describe an operation of a plain service."""

from pydantic import Field

from gooseberrydeal._internal.models.declared import Declared, Name


class Operation(Declared):
    """Declare whether an operation may be repeated and its class of work."""

    name: Name
    repeatable: bool
    work_class: Name
    expected_seconds: float = Field(default=0.05, gt=0)
