"""Define the base class of configuration entries."""

from typing import Annotated, Final

from pydantic import BaseModel, ConfigDict, Field

NAME_PATTERN: Final = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$"

Name = Annotated[str, Field(pattern=NAME_PATTERN)]


class Declared(BaseModel):
    """Represent an immutable part of the configuration; unknown keys are errors."""

    model_config = ConfigDict(frozen=True, extra="forbid")
