"""Parts of a prompt that is sent as a list of messages."""

from collections.abc import Iterator

import msgspec
import xxhash

from lacewingspar_core.decoding import DECODE_ERRORS


class _MessagesBody(msgspec.Struct):
    """The part of a model request that holds its prompt."""

    messages: list[msgspec.Raw] = []


def message_parts(body: bytes) -> Iterator[str]:
    """Return the ids of the messages that other requests may share.

    The last message belongs to the request itself.

    Args:
        body: Body of a request. Any body without messages has no parts.
    """
    try:
        messages = msgspec.json.decode(body, type=_MessagesBody).messages
    except DECODE_ERRORS:
        # A plain service may take any body, so this is no error.
        return
    for message in messages[:-1]:
        yield xxhash.xxh3_64_hexdigest(bytes(message))
