"""Options, faults and counters of the engine stand-in."""

from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from lacewingspar_standins.batching import BatchOptions
from lacewingspar_standins.faults import Faults
from lacewingspar_standins.prefix_cache import CacheOptions


class EngineFaults(Faults):
    """Faults of the engine.

    Attributes:
        crash_marker: Text in a prompt that ends the process when the request
            starts to run.
        silent: Setting it to true silences the requests in flight. Later
            requests work, so it always reads as false.
        refuse: Respond to new requests with 503.
        wrong_id: Number of next responses that carry another request's id.
        cut_after: Close streams after this number of token events.
        leave: Act as if the VM is leaving: `/health` responds 503. Requests
            are still admitted, and `/stats` counts them.
    """

    crash_marker: str | None = None
    silent: bool = False
    refuse: bool = False
    wrong_id: int = 0
    cut_after: int | None = None
    leave: bool = False


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Options of the engine.

    Attributes:
        models: Names of the models.
        batch: Options of continuous batching.
        cache: Options of the prefix cache.
        median_tokens: Median of the random number of tokens.
        sigma: Standard deviation of the logarithm of that number.
        seed: Seed of the random numbers.
        runs_file: File that preserves the runs across restarts, or None.
    """

    models: tuple[str, ...] = ("model",)
    batch: BatchOptions = field(default_factory=BatchOptions)
    cache: CacheOptions = field(default_factory=CacheOptions)
    median_tokens: float = 64.0
    sigma: float = 0.7
    seed: int = 1
    runs_file: Path | None = None


@dataclass(slots=True)
class EngineStats:
    """Counters since the start of the engine.

    `runs_by_request_id` also includes the runs of earlier processes that are
    in the runs file.
    """

    arrived: int = 0
    started: int = 0
    finished: int = 0
    cancelled: int = 0
    tokens: int = 0
    cached_tokens: int = 0
    arrived_after_leave: int = 0
    last_arrival_after_leave_seconds: float = 0.0
    slot_seconds: float = 0.0
    runs_by_request_id: Counter[str] = field(default_factory=Counter)
