"""Upstreams that were last used for shared prompt parts."""

from lacewingspar_core.prefix_cache import PromptPart

# Prompts whose upstream is remembered; the oldest are dropped first. One takes
# some 200 bytes.
MAX_PROMPTS = 4096


class PromptLocations:
    """Remembers the last upstream of each prompt.

    The owner of a pool knows what its own upstreams hold in their KV caches.
    Ingress routers and the owners of other pools add what other upstreams hold.
    """

    def __init__(self) -> None:
        self._upstream_id_by_part_key: dict[int, str] = {}

    def record(self, parts: tuple[PromptPart, ...], upstream_id: str) -> None:
        """Record that a prompt was sent to an upstream."""
        if parts:
            self.record_key(parts[-1].key, upstream_id)

    def record_key(self, key: int, upstream_id: str) -> None:
        """Record the upstream of the prompt with a key of the last part."""
        # Moves the prompt to the end of the order of use.
        self._upstream_id_by_part_key.pop(key, None)
        self._upstream_id_by_part_key[key] = upstream_id
        if len(self._upstream_id_by_part_key) > MAX_PROMPTS:
            oldest = next(iter(self._upstream_id_by_part_key))
            del self._upstream_id_by_part_key[oldest]

    def find(self, parts: tuple[PromptPart, ...]) -> str:
        """Return the last upstream of a prompt, or "" if it is unknown."""
        if not parts:
            return ""
        return self._upstream_id_by_part_key.get(parts[-1].key, "")
