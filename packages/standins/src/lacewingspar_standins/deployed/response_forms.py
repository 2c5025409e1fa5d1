"""Forms of responses that end early, and of invalid ones."""

from dataclasses import dataclass
from enum import StrEnum


class Framing(StrEnum):
    """How a response marks the end of its body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


class Part(StrEnum):
    """Part of the body that is sent.

    Attributes:
        NONE: Nothing.
        CUT: The first event and half of the second one, or half of a body.
        BETWEEN: The first event, or half of a body.
        WHOLE: All of it, and the end that the framing has.
    """

    NONE = "none"
    CUT = "cut"
    BETWEEN = "between"
    WHOLE = "whole"


class ConnectionEnd(StrEnum):
    """What happens to the connection behind the sent part.

    Attributes:
        RESET: It is reset.
        FIN: The sending side is closed; the rest of the request is read.
        FIN_RESET: The sending side is closed, and the connection is reset.
        CLOSE: It is closed; the rest of the request is not read.
        OPEN: It stays open; the rest of the request is read.
    """

    RESET = "reset"
    FIN = "fin"
    FIN_RESET = "fin_reset"
    CLOSE = "close"
    OPEN = "open"


@dataclass(frozen=True, slots=True)
class ResponseForm:
    """Form of a response.

    Attributes:
        framing: How the response marks its end.
        part: Part of the body that is sent.
        end: What happens to the connection then.
        status_line: Status line.
        is_early: Whether it is sent before the request's body is read.
    """

    framing: Framing
    part: Part
    end: ConnectionEnd
    status_line: bytes = b"HTTP/1.1 200 OK"
    is_early: bool = False

    @property
    def is_complete(self) -> bool:
        """Return whether the response is valid and complete."""
        return self.status_line == _VALID and (
            self.part is Part.WHOLE
            and (
                self.framing is not Framing.CONNECTION
                or self.end is ConnectionEnd.FIN
            )
        )

    def encode(self, request_id: str, headers: bytes, body: bytes) -> bytes:
        """Return what is sent of the response to a request.

        Args:
            request_id: Id of the request.
            headers: Header lines of the response.
            body: Whole body.
        """
        is_interim = self.status_line[9:12] in _INTERIM_STATUSES
        if is_interim:
            return self.status_line + b"\r\n\r\n"
        head = b"%b\r\nX-Attempt-Id: %b\r\n%b" % (
            self.status_line,
            request_id.encode(),
            headers,
        )
        sent = _sent_part(self.part, body)
        match self.framing:
            case Framing.LENGTH:
                return head + b"Content-Length: %d\r\n\r\n" % len(body) + sent
            case Framing.CHUNKS:
                chunk = b"%x\r\n%b\r\n" % (len(sent), sent) if sent else b""
                last = b"0\r\n\r\n" if self.part is Part.WHOLE else b""
                return head + _CHUNKED + chunk + last
            case Framing.CONNECTION:
                return head + b"\r\n" + sent


_VALID = b"HTTP/1.1 200 OK"
_INTERIM_STATUSES = frozenset({b"100", b"101"})
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_EVENT_END = b"\n\n"


def _sent_part(part: Part, body: bytes) -> bytes:
    first_end = body.find(_EVENT_END) + len(_EVENT_END)
    is_stream = first_end >= len(_EVENT_END)
    match part:
        case Part.NONE:
            return b""
        case Part.WHOLE:
            return body
        case Part.BETWEEN if is_stream:
            return body[:first_end]
        case Part.CUT if is_stream:
            return body[: first_end + 5]
        case _:
            return body[: len(body) // 2]


def _truncated_forms() -> dict[str, ResponseForm]:
    """Return the forms that end before the response does, by name."""
    forms: dict[str, ResponseForm] = {}
    for is_early in (False, True):
        when = "early " if is_early else ""
        for end in ConnectionEnd:
            if end is ConnectionEnd.OPEN:
                continue
            for framing in Framing:
                for part in (Part.NONE, Part.CUT, Part.BETWEEN):
                    form = ResponseForm(framing, part, end, is_early=is_early)
                    if _looks_complete(form):
                        continue
                    name = f"{when}{framing}, {part} and {end}"
                    forms[name] = form
    return forms


def _looks_complete(form: ResponseForm) -> bool:
    """Return whether an orderly end leaves no trace of a truncation.

    A connection that is closed in order is the regular end of a body without a
    length. Only what is read of an early response tells that it is not one.
    """
    is_closed = form.end is ConnectionEnd.FIN or (
        form.end is not ConnectionEnd.RESET and not form.is_early
    )
    return form.framing is Framing.CONNECTION and is_closed


# Status lines that are invalid, or that no final response may follow.
INVALID_STATUS_LINES = {
    f"status {text or 'empty'}": b"HTTP/1.1 " + text.encode() + b" Status"
    for text in (
        *("000", "099", "600", "999", "1000", "2", "20x", "-200", ""),
        *("100", "101"),
    )
}
TRUNCATED_FORM_BY_NAME = _truncated_forms()
INVALID_FORM_BY_NAME = {
    name: ResponseForm(Framing.LENGTH, Part.WHOLE, ConnectionEnd.OPEN, line)
    for name, line in INVALID_STATUS_LINES.items()
}
# Responses that are complete before the request's body is read.
EARLY_FORM_BY_NAME = {
    f"early {framing}, whole and {end}": ResponseForm(
        framing, Part.WHOLE, end, is_early=True
    )
    for framing, end in (
        (Framing.LENGTH, ConnectionEnd.OPEN),
        (Framing.LENGTH, ConnectionEnd.FIN),
        (Framing.LENGTH, ConnectionEnd.RESET),
        (Framing.LENGTH, ConnectionEnd.CLOSE),
        (Framing.CHUNKS, ConnectionEnd.OPEN),
        (Framing.CHUNKS, ConnectionEnd.RESET),
        (Framing.CONNECTION, ConnectionEnd.FIN),
    )
}
FORM_BY_NAME = {
    **TRUNCATED_FORM_BY_NAME,
    **INVALID_FORM_BY_NAME,
    **EARLY_FORM_BY_NAME,
}
