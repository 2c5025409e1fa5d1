"""Where the shared prompt parts of granted requests come from."""

from dataclasses import dataclass


@dataclass(slots=True)
class SharedPromptTally:
    """Tokens of shared prompt parts in granted requests, by their source.

    Attributes:
        cached: Tokens in the KV cache of the chosen upstream.
        copied: Tokens that the upstream copies from another one.
        prefilled: Tokens that the upstream has to prefill.
    """

    cached: int = 0
    copied: int = 0
    prefilled: int = 0

    def add(self, shared: int, missing: int, *, is_copied: bool) -> None:
        """Add a granted request.

        Args:
            shared: Tokens of its shared parts.
            missing: Those that are not in the cache of the upstream.
            is_copied: Whether the upstream copies them from another one.
        """
        self.cached += shared - missing
        if is_copied:
            self.copied += missing
        else:
            self.prefilled += missing

    @property
    def cached_share(self) -> float:
        """Return the share of the tokens that were cached, 0 without any."""
        total = self.cached + self.copied + self.prefilled
        return self.cached / max(1, total)
