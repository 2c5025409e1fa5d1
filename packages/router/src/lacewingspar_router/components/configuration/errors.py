"""Errors of the configuration component."""

from lacewingspar_core.documents import DocumentProblem
from lacewingspar_router.errors import RouterError


class ConfigurationError(RouterError):
    """Base class of configuration errors."""


class InvalidDocumentError(ConfigurationError):
    """A document to publish is not valid under the schema.

    Attributes:
        problems: All problems of the document.
    """

    def __init__(self, problems: tuple[DocumentProblem, ...]) -> None:
        super().__init__(
            "; ".join(f"{p.path}: {p.allowed} (is {p.value})" for p in problems)
        )
        self.problems = problems
