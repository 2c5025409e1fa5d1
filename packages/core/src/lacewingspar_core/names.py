"""Names in documents and settings."""

from typing import Annotated

from pydantic import Field

# In a module of its own, so that the settings do not load the schemas of
# documents.
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
