"""Output for people (tables) and programs (JSON)."""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table
from rich.text import Text

from lacewingspar_ctl.errors import CtlError, InvalidDocumentError

# Wider than the default of 80 columns for pipes, so that identifiers are not
# wrapped and can be searched for and copied.
_PIPE_COLUMNS = 200


class Output:
    """Writes results to standard output and notices to standard error.

    Args:
        as_json: Whether standard output is one JSON value for programs.
    """

    def __init__(self, as_json: bool) -> None:
        self.as_json = as_json
        self._out = _console(stderr=False)
        self._err = _console(stderr=True)

    def json(self, value: Any) -> None:
        """Write a value as JSON."""
        text = msgspec.json.format(msgspec.json.encode(value), indent=2)
        self.line(text.decode())

    def line(self, text: str) -> None:
        """Write a line to standard output."""
        self._out.print(_plain(text, keep="\n"), soft_wrap=True)

    def notice(self, text: str) -> None:
        """Write a line to standard error."""
        self._err.print(_plain(text), soft_wrap=True)

    def table(
        self, title: str, columns: Sequence[str], rows: Iterable[Sequence[Any]]
    ) -> None:
        """Write a table to standard output."""
        table = Table(title=_plain(title), title_justify="left")
        for column in columns:
            table.add_column(_plain(column), overflow="fold")
        for row in rows:
            table.add_row(*(_plain(_cell(value)) for value in row))
        self._out.print(table)

    def value(self, title: str, value: Any) -> None:
        """Write a decoded JSON value as JSON or as tables."""
        if self.as_json:
            self.json(value)
            return
        if _is_object_list(value):
            columns = list(dict.fromkeys(name for row in value for name in row))
            rows = [[row.get(name) for name in columns] for row in value]
            self.table(title, columns, rows)
            return
        if not isinstance(value, Mapping):
            self.line(f"{title}: {_cell(value)}")
            return
        simple = [
            item for item in value.items() if not _is_object_list(item[1])
        ]
        if simple:
            self.table(title, ("name", "value"), simple)
        for name, inner in value.items():
            if _is_object_list(inner):
                self.value(name, inner)

    def error(self, error: CtlError) -> None:
        """Write the error that ends a command."""
        problems = (
            error.problems if isinstance(error, InvalidDocumentError) else ()
        )
        if self.as_json:
            detail: dict[str, Any] = {"code": error.code, "message": str(error)}
            if problems:
                detail["problems"] = problems
            self.json({"error": detail})
            return
        self.notice(f"{error.code}: {error}")
        for item in problems:
            found = f" is {item.value}," if item.value else ":"
            place = item.path or "document"
            self.notice(f"  {place}{found} allowed is {item.allowed}")


def _console(stderr: bool) -> Console:
    console = Console(stderr=stderr, highlight=False)
    if not console.is_terminal:
        console.width = _PIPE_COLUMNS
    return console


def _plain(text: str, keep: str = "") -> Text:
    """Return text without markup and with control characters escaped.

    Names in responses come from other users and must not control the terminal.
    """
    return Text(
        "".join(
            char if char.isprintable() or char in keep else _escaped(char)
            for char in text
        )
    )


def _escaped(char: str) -> str:
    """Return a character as a JSON escape, which is valid in JSON output."""
    units = char.encode("utf-16-be", "surrogatepass").hex(" ", 2).split()
    return "".join(f"\\u{unit}" for unit in units)


def _cell(value: Any) -> str:
    if isinstance(value, str):
        return value
    if value is None:
        return "-"
    return msgspec.json.encode(value).decode()


def _is_object_list(value: Any) -> bool:
    return (
        isinstance(value, list)
        and bool(value)
        and all(isinstance(item, Mapping) for item in value)
    )
