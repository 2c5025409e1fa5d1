"""Bound of the memory for the bodies of requests."""

# Twice this much fits beside the router into the memory of a small VM; a body
# that is sent on is held twice for a moment.
DEFAULT_MAX_BYTES = 32 * 1024 * 1024


class BodyMemory:
    """Counts the bytes that are held for the bodies of requests.

    They are held from the head of a request, which announces them, or else from
    their arrival, until the request ends.

    Attributes:
        max_bytes: Most bytes that are held together. One larger body is taken
            if no other is held, as waiting would not make room for it.
        held_bytes: Bytes that are held now.
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        self.max_bytes = max_bytes
        self.held_bytes = 0

    def try_hold(self, size: int, own: int = 0) -> bool:
        """Hold more bytes, unless there is no room.

        Args:
            size: Number of bytes.
            own: Bytes that are held for the same body.

        Returns:
            Whether they are held.
        """
        is_alone = self.held_bytes == own
        if not is_alone and self.held_bytes + size > self.max_bytes:
            return False
        self.held_bytes += size
        return True

    def release(self, size: int) -> None:
        """Release bytes that were held."""
        self.held_bytes -= size
