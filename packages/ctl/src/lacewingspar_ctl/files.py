"""Reading of service documents from files."""

from pathlib import Path

from returns.pipeline import is_successful

from lacewingspar_core.documents import ServiceDocument, parse_document
from lacewingspar_ctl.errors import BadInputError, InvalidDocumentError


def read_document(path: Path) -> ServiceDocument:
    """Read a service document from a file of JSON with comments.

    Raises:
        BadInputError: The file cannot be read.
        InvalidDocumentError: The document has problems.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as error:
        message = f"cannot read {path}: {error.strerror}"
        raise BadInputError("unreadable_file", message) from error
    except UnicodeDecodeError as error:
        message = f"{path} is not UTF-8 text: {error.reason}"
        raise BadInputError("unreadable_file", message) from error
    result = parse_document(text)
    if not is_successful(result):
        raise InvalidDocumentError(result.failure())
    return result.unwrap()
