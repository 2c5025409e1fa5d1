"""Result of a load generator run."""

import time
from collections import Counter, defaultdict

import msgspec
from hdrh.histogram import HdrHistogram

MAX_MICROSECONDS = 3_600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 95.0, 99.0, 99.9, 100.0)
MAX_PROBLEMS = 50
MAX_REQUEST_IDS = 100_000


class Histogram(msgspec.Struct, frozen=True):
    """Summary of a histogram of durations.

    Attributes:
        count: Number of values.
        mean_seconds: Mean of the values.
        seconds_by_percentile: Value by percentile.
        encoded: The complete histogram in microseconds, in the compressed
            format of HdrHistogram.
    """

    count: int
    mean_seconds: float
    seconds_by_percentile: dict[str, float]
    encoded: str


class BrokenConnection(msgspec.Struct, frozen=True):
    """An attempt whose connection closed before the response was complete.

    Attributes:
        at_seconds: End of the attempt in seconds since the Unix epoch.
        address: Address of the router as `host:port`.
        outcome: `no_answer` or `broken`.
        marker: Marker of the request.
    """

    at_seconds: float
    address: str
    outcome: str
    marker: str


class WorkspaceResult(msgspec.Struct, frozen=True):
    """Result of one workspace.

    Attributes:
        requests: Number of requests.
        attempts: Number of attempts; a refused request has several.
        tokens: Number of tokens received.
        finals_by_outcome: Requests by outcome of the last attempt: `ok`,
            `refused:CODE`, `error_event:CODE`, `http:STATUS`, `broken`,
            `no_answer`, `connect_failed`, `timeout`, `wrong_answer` or
            `not_sent`.
        attempts_by_outcome: Attempts by outcome.
        attempts_by_run: Refusals and error events by run state.
        latency: Time from start to end of the requests with outcome `ok`;
            an open-loop request starts when it is due.
        first_token: Time from start to the first token of streams.
    """

    requests: int
    attempts: int
    tokens: int
    finals_by_outcome: dict[str, int]
    attempts_by_outcome: dict[str, int]
    attempts_by_run: dict[str, int]
    latency: Histogram
    first_token: Histogram


class LoadResult(msgspec.Struct, frozen=True):
    """Result of a run.

    Attributes:
        seconds: Duration of the run.
        by_workspace: Results by workspace.
        problems: The first wrong responses and repeated request ids.
        not_run_request_ids: Ids of requests that were reported as `not_run`,
            for comparison with the runs that the upstreams counted.
        answered_keys: Idempotency keys of the calls with outcome `ok`.
        attempts_by_address: Attempts by router address and outcome.
        longest_gap_seconds: Longest time without a complete response.
        broken_connections: The first attempts without a complete response.
    """

    seconds: float
    by_workspace: dict[str, WorkspaceResult]
    problems: tuple[str, ...]
    not_run_request_ids: tuple[str, ...]
    answered_keys: tuple[str, ...]
    attempts_by_address: dict[str, dict[str, int]]
    longest_gap_seconds: float
    broken_connections: tuple[BrokenConnection, ...] = ()

    def count(self, outcome: str) -> int:
        """Return the number of requests with an outcome."""
        return sum(
            result.finals_by_outcome.get(outcome, 0)
            for result in self.by_workspace.values()
        )


class WorkspaceRecorder:
    """Collects the result of one workspace."""

    def __init__(self) -> None:
        self.tokens = 0
        self.finals: Counter[str] = Counter()
        self.attempts: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        self._latency = new_histogram()
        self._first_token = new_histogram()

    def record_latency(self, seconds: float) -> None:
        """Record the latency of a request."""
        self._latency.record_value(_microseconds(seconds))

    def record_first_token(self, seconds: float) -> None:
        """Record the time to the first token of a stream."""
        self._first_token.record_value(_microseconds(seconds))

    def result(self) -> WorkspaceResult:
        """Return the collected result."""
        return WorkspaceResult(
            requests=self.finals.total(),
            attempts=self.attempts.total(),
            tokens=self.tokens,
            finals_by_outcome=dict(self.finals),
            attempts_by_outcome=dict(self.attempts),
            attempts_by_run=dict(self.runs),
            latency=summarise(self._latency),
            first_token=summarise(self._first_token),
        )


class Recorder:
    """Collects the result of a run."""

    def __init__(self, workspaces: tuple[str, ...]) -> None:
        self.by_workspace = {name: WorkspaceRecorder() for name in workspaces}
        self.answered_keys: list[str] = []
        self.attempts_by_address: defaultdict[str, Counter[str]] = defaultdict(
            Counter
        )
        self._problems: list[str] = []
        self._not_run_request_ids: list[str] = []
        self._answered_ids: set[str] = set()
        self._last_response_at = 0.0
        self._longest_gap_seconds = 0.0
        self._broken_connections: list[BrokenConnection] = []

    def start_gap(self) -> None:
        """Start measuring the time without a complete response."""
        self._last_response_at = time.monotonic()

    def update_longest_gap(self) -> None:
        """Update the longest gap, at a complete response or the run's end."""
        now = time.monotonic()
        self._longest_gap_seconds = max(
            self._longest_gap_seconds, now - self._last_response_at
        )
        self._last_response_at = now

    def record_problem(self, problem: str) -> None:
        """Record a problem, up to `MAX_PROBLEMS`."""
        if len(self._problems) < MAX_PROBLEMS:
            self._problems.append(problem)

    def record_broken(self, address: str, outcome: str, marker: str) -> None:
        """Record an attempt without a complete response, up to a limit."""
        if len(self._broken_connections) < MAX_REQUEST_IDS:
            self._broken_connections.append(
                BrokenConnection(time.time(), address, outcome, marker)
            )

    def record_not_run(self, request_id: str) -> None:
        """Record the id of a request reported as not run, up to a limit."""
        if len(self._not_run_request_ids) < MAX_REQUEST_IDS:
            self._not_run_request_ids.append(request_id)

    def record_answered(self, request_id: str) -> None:
        """Record a complete response and check that its id is new."""
        self.update_longest_gap()
        if request_id in self._answered_ids:
            self.record_problem(f"request id {request_id!r} answered twice")
        self._answered_ids.add(request_id)

    def result(self, seconds: float) -> LoadResult:
        """Return the collected result."""
        return LoadResult(
            seconds=seconds,
            by_workspace={
                name: recorder.result()
                for name, recorder in self.by_workspace.items()
            },
            problems=tuple(self._problems),
            not_run_request_ids=tuple(self._not_run_request_ids),
            answered_keys=tuple(self.answered_keys),
            attempts_by_address={
                address: dict(counts)
                for address, counts in self.attempts_by_address.items()
            },
            longest_gap_seconds=self._longest_gap_seconds,
            broken_connections=tuple(self._broken_connections),
        )


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)


def summarise(histogram: HdrHistogram) -> Histogram:
    """Return the summary of a histogram of microseconds."""
    return Histogram(
        count=histogram.get_total_count(),
        mean_seconds=histogram.get_mean_value() / 1e6,
        seconds_by_percentile={
            f"{percentile:g}": histogram.get_value_at_percentile(percentile)
            / 1e6
            for percentile in PERCENTILES
        },
        encoded=histogram.encode().decode(),
    )


def _microseconds(seconds: float) -> int:
    return min(MAX_MICROSECONDS, max(1, round(seconds * 1e6)))
