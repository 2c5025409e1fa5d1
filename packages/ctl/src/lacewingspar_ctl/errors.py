"""Exit codes and errors of the command line."""

from collections.abc import Sequence
from enum import IntEnum

from lacewingspar_core.document_problems import DocumentProblem


class ExitCode(IntEnum):
    """Exit codes that programs may rely on."""

    DONE = 0
    BAD_INPUT = 2
    CONFLICT = 3
    UNKNOWN_OUTCOME = 4
    UNREACHABLE = 5
    REFUSED = 6


class CtlError(Exception):
    """Base class of errors that end a command.

    Attributes:
        code: Machine-readable reason.
        exit_code: Exit code of the command.
    """

    exit_code = ExitCode.REFUSED

    def __init__(self, code: str, message: str) -> None:
        super().__init__(message)
        self.code = code


class BadInputError(CtlError):
    """A file, an option or a name is invalid."""

    exit_code = ExitCode.BAD_INPUT


class InvalidDocumentError(BadInputError):
    """A service document has problems.

    Attributes:
        problems: All problems of the document.
    """

    def __init__(self, problems: Sequence[DocumentProblem]) -> None:
        super().__init__(
            "invalid_document", f"the document has {len(problems)} problem(s)"
        )
        self.problems = tuple(problems)


class UnknownOutcomeError(CtlError):
    """The request may or may not have taken effect."""

    exit_code = ExitCode.UNKNOWN_OUTCOME


class RouterUnreachableError(CtlError):
    """The request did not reach the router, or a read got no response."""

    exit_code = ExitCode.UNREACHABLE


class RefusedError(CtlError):
    """The router refused the request."""

    exit_code = ExitCode.REFUSED
