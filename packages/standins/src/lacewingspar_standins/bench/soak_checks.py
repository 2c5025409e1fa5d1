"""Checks of the fault soak."""

import math
import re
from dataclasses import dataclass

from lacewingspar_standins.bench.soak_callers import (
    SINGLE_RUN_PATHS,
    SeenCall,
)
from lacewingspar_standins.deployed.upstream import SEAL, Upstream

# Statuses that mean that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Maximum delay of a response after the deadline.
LATE_ANSWER_SECONDS = 0.5
# Maximum time from a caller's disconnect until its request reaches an upstream.
LEFT_SECONDS = 0.6
# Maximum time until routers apply a new configuration.
APPLY_SECONDS = 2.0
# Maximum time for which a draining upstream still receives requests.
DRAIN_SECONDS = 2.0
# A request sent less than this before its connection closed may be unread.
CROSSING_SECONDS = 0.2
# Minimum fraction of the requests that are served after the last fault.
SERVED_AFTER_FAULTS = 0.95
SHOWN = 5

_EVENT_NUMBER = re.compile(rb"data: event (\d+)\n\n")


@dataclass(frozen=True, slots=True)
class Span:
    """Period in which a fault affected a part.

    Attributes:
        subject: Router or upstream by id, `store`, or `link` for each link.
        kind: Kind of the fault.
        start: Start in seconds of the event loop.
        end: End, including the time that the fleet needs to detect it.
    """

    subject: str
    kind: str
    start: float
    end: float

    def overlaps(self, start: float, end: float) -> bool:
        """Return whether the span overlaps a period."""
        return self.start <= end and start <= self.end


@dataclass(frozen=True, slots=True)
class Facts:
    """Everything that was observed in a soak.

    Attributes:
        calls: Requests of the callers.
        upstreams: Upstreams with the requests that they received.
        spans: Periods of the injected faults.
        flips: Time and route number of each configuration.
        drains: Upstream, start and end of each drain.
        faults_end_at: Time after which no fault was active.
        events: Number of events in a complete stream.
    """

    calls: list[SeenCall]
    upstreams: list[Upstream]
    spans: list[Span]
    flips: list[tuple[float, int]]
    drains: list[tuple[str, float, float]]
    faults_end_at: float
    events: int

    def is_calm(self, start: float, end: float, *subjects: str) -> bool:
        """Return whether no fault affected the subjects in a period."""
        return not any(
            span.subject in subjects and span.overlaps(start, end)
            for span in self.spans
        )


def breaches(facts: Facts) -> dict[str, list[str]]:
    """Describe violations by check, without the checks that passed."""
    found = {
        "answers": _wrong_answers(facts),
        "repeated runs": _repeated_runs(facts),
        "false refusals": _false_refusals(facts),
        "late answers": _late_answers(facts),
        "sent after the caller left": _sent_after_leaving(facts),
        "old configuration": _old_configuration(facts),
        "sent to a leaving upstream": _sent_while_draining(facts),
        "cut by a shutdown": _cut_by_shutdown(facts),
        "recovery": _recovery(facts),
    }
    return {name: items[:SHOWN] for name, items in found.items() if items}


def _runs(facts: Facts) -> dict[str, int]:
    runs: dict[str, int] = {}
    for upstream in facts.upstreams:
        for request_id, count in upstream.runs.items():
            runs[request_id] = runs.get(request_id, 0) + count
    return runs


def _wrong_answers(facts: Facts) -> list[str]:
    whole = [str(number).encode() for number in range(1, facts.events + 1)]
    found = []
    for call in facts.calls:
        if call.status != 200:
            continue
        numbers = _EVENT_NUMBER.findall(call.body)
        is_stream = "stream" in call.path
        if call.headers.get("x-server-seal") != SEAL:
            found.append(f"{call.request_id}: success without an upstream")
        elif call.headers.get("x-attempt-id") != call.request_id:
            found.append(f"{call.request_id}: response to another request")
        elif is_stream and numbers != whole[: len(numbers)]:
            found.append(f"{call.request_id}: events {numbers!r}")
        elif is_stream and call.is_complete and numbers != whole:
            found.append(f"{call.request_id}: ends after {len(numbers)} events")
        elif (
            not is_stream
            and call.is_complete
            and not call.body.startswith(b"answer of ")
        ):
            found.append(f"{call.request_id}: body {call.body!r}")
    return found


def _repeated_runs(facts: Facts) -> list[str]:
    path_by_id = {call.request_id: call.path for call in facts.calls}
    return [
        f"{request_id}: {count} runs of {path_by_id.get(request_id)}"
        for request_id, count in _runs(facts).items()
        if count > 1 and path_by_id.get(request_id) in SINGLE_RUN_PATHS
    ]


def _false_refusals(facts: Facts) -> list[str]:
    runs = _runs(facts)
    return [
        f"{call.request_id}: {call.status} for {call.path}, "
        f"{runs[call.request_id]} runs"
        for call in facts.calls
        if call.status in NOT_RUN_STATUSES and runs.get(call.request_id)
    ]


def _late_answers(facts: Facts) -> list[str]:
    found = []
    for call in facts.calls:
        due_at = call.sent_at + call.deadline_seconds + LATE_ANSWER_SECONDS
        seen_at = min(call.ended_at, call.left_at)
        has_left = call.left_at < call.sent_at + call.deadline_seconds
        if has_left or seen_at == math.inf or seen_at <= due_at:
            continue
        if facts.is_calm(call.sent_at, due_at, call.router_id):
            found.append(
                f"{call.request_id}: {call.status} at {call.router_id} after "
                f"{seen_at - call.sent_at:.2f} s of {call.deadline_seconds} s"
            )
    return found


def _sent_after_leaving(facts: Facts) -> list[str]:
    call_by_id = {call.request_id: call for call in facts.calls}
    found = []
    for upstream in facts.upstreams:
        for received in upstream.received:
            request_id = received.value_by_header.get("x-attempt-id", "")
            call = call_by_id.get(request_id)
            if call is None or received.at <= call.left_at + LEFT_SECONDS:
                continue
            if facts.is_calm(call.sent_at, received.at, call.router_id, "link"):
                found.append(
                    f"{request_id}: {received.at - call.left_at:.2f} s after"
                )
    return found


def _old_configuration(facts: Facts) -> list[str]:
    found = []
    for call in facts.calls:
        if not call.path.startswith("/flip-") or call.status not in (200, 404):
            continue
        flips = [item for item in facts.flips if item[0] <= call.ended_at]
        since, number = flips[-1]
        if len(flips) < 2 or call.sent_at < since + APPLY_SECONDS:
            continue
        expected = 200 if call.path == f"/flip-{number}/" else 404
        is_calm = facts.is_calm(
            since, call.ended_at, call.router_id, "store", "link"
        )
        if call.status != expected and is_calm:
            found.append(
                f"{call.request_id}: {call.status} for {call.path} at "
                f"{call.router_id}, {call.sent_at - since:.2f} s after"
            )
    return found


def _sent_while_draining(facts: Facts) -> list[str]:
    found = []
    upstream_by_id = {item.upstream_id: item for item in facts.upstreams}
    for upstream_id, left_at, back_at in facts.drains:
        since = left_at + DRAIN_SECONDS
        found += [
            f"{received.value_by_header.get('x-attempt-id')}: at {upstream_id}"
            f" {received.at - left_at:.2f} s after"
            for received in upstream_by_id[upstream_id].received
            if since < received.at < back_at
            and facts.is_calm(left_at, received.at, "store", "link")
        ]
    return found


def _cut_by_shutdown(facts: Facts) -> list[str]:
    """Describe requests that a graceful shutdown aborted.

    A request sent while the router closed the connection may not have been read
    and does not count; its caller can retry it.
    """
    passed_on = {
        received.value_by_header.get("x-attempt-id")
        for upstream in facts.upstreams
        for received in upstream.received
    }
    found = []
    for span in facts.spans:
        if span.kind != "terminate":
            continue
        for call in facts.calls:
            is_under_way = (
                call.router_id == span.subject
                and call.is_closed_unanswered
                and span.start - 0.5 <= call.sent_at
                and call.ended_at <= span.end
                and (
                    call.request_id in passed_on
                    or call.ended_at - call.sent_at > CROSSING_SECONDS
                )
            )
            others = [item for item in facts.spans if item is not span]
            if is_under_way and not any(
                item.overlaps(call.sent_at - 1.0, call.ended_at)
                for item in others
            ):
                found.append(f"{call.request_id}: status {call.status}")
    return found


def _recovery(facts: Facts) -> list[str]:
    calls = [
        call
        for call in facts.calls
        if call.sent_at > facts.faults_end_at
        and not call.path.startswith("/flip-")
        and call.left_at == math.inf
        and call.ended_at < math.inf
    ]
    served = sum(call.status == 200 and call.is_complete for call in calls)
    if calls and served >= SERVED_AFTER_FAULTS * len(calls):
        return []
    return [f"{served} of {len(calls)} requests served after the last fault"]
