"""Define the base of all declared entries."""

from typing import Annotated, Final

from pydantic import BaseModel, ConfigDict, Field

NAME_PATTERN: Final = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$"

Name = Annotated[str, Field(pattern=NAME_PATTERN)]


class Declared(BaseModel):
    """Hold one immutable entry of the configuration."""

    model_config = ConfigDict(frozen=True, extra="forbid")
