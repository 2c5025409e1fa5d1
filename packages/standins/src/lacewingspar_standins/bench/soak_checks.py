"""Checks of the fault soak."""

import math
import re
from dataclasses import dataclass

from lacewingspar_standins.bench.soak_callers import (
    SINGLE_RUN_PATHS,
    ObservedCall,
)
from lacewingspar_standins.deployed.upstream import SEAL, Upstream

# Statuses that mean that the request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Maximum delay of a response after the deadline.
MAX_RESPONSE_DELAY_SECONDS = 0.5
# Maximum time from a caller's disconnect until its request reaches an upstream.
MAX_DISCONNECT_DELAY_SECONDS = 0.6
# Maximum time until routers apply a new configuration.
MAX_APPLY_SECONDS = 2.0
# Maximum time for which a draining upstream still receives requests.
MAX_DRAIN_DELAY_SECONDS = 2.0
# A request sent less than this before its connection closed may be unread.
CLOSE_RACE_SECONDS = 0.2
# Minimum fraction of the requests that are served after the last fault.
MIN_SERVED_FRACTION = 0.95
MAX_SHOWN = 5

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
class SoakObservations:
    """Everything that was observed in a soak.

    Attributes:
        calls: Requests of the callers.
        upstreams: Upstreams with the requests that they received.
        spans: Periods of the injected faults.
        route_changes: Time and route number of each configuration.
        drains: Upstream, start and end of each drain.
        faults_end_at: Time after which no fault was active.
        events: Number of events in a complete stream.
    """

    calls: list[ObservedCall]
    upstreams: list[Upstream]
    spans: list[Span]
    route_changes: list[tuple[float, int]]
    drains: list[tuple[str, float, float]]
    faults_end_at: float
    events: int

    def is_fault_free(self, start: float, end: float, *subjects: str) -> bool:
        """Return whether no fault affected the subjects in a period."""
        return not any(
            span.subject in subjects and span.overlaps(start, end)
            for span in self.spans
        )


def breaches(observations: SoakObservations) -> dict[str, list[str]]:
    """Describe violations by check, without the checks that passed."""
    found = {
        "answers": _wrong_responses(observations),
        "repeated runs": _repeated_runs(observations),
        "false refusals": _false_refusals(observations),
        "late answers": _late_responses(observations),
        "sent after the caller left": _sent_after_disconnect(observations),
        "old configuration": _old_configuration(observations),
        "sent to a leaving upstream": _sent_while_draining(observations),
        "cut by a shutdown": _aborted_by_shutdown(observations),
        "recovery": _recovery(observations),
    }
    return {name: items[:MAX_SHOWN] for name, items in found.items() if items}


def _runs(observations: SoakObservations) -> dict[str, int]:
    runs: dict[str, int] = {}
    for upstream in observations.upstreams:
        for request_id, count in upstream.runs.items():
            runs[request_id] = runs.get(request_id, 0) + count
    return runs


def _wrong_responses(observations: SoakObservations) -> list[str]:
    expected = [
        str(number).encode() for number in range(1, observations.events + 1)
    ]
    found = []
    for call in observations.calls:
        if call.status != 200:
            continue
        numbers = _EVENT_NUMBER.findall(call.body)
        is_stream = "stream" in call.path
        if call.headers.get("x-server-seal") != SEAL:
            found.append(f"{call.request_id}: success without an upstream")
        elif call.headers.get("x-attempt-id") != call.request_id:
            found.append(f"{call.request_id}: response to another request")
        elif is_stream and numbers != expected[: len(numbers)]:
            found.append(f"{call.request_id}: events {numbers!r}")
        elif is_stream and call.is_complete and numbers != expected:
            found.append(f"{call.request_id}: ends after {len(numbers)} events")
        elif (
            not is_stream
            and call.is_complete
            and not call.body.startswith(b"answer of ")
        ):
            found.append(f"{call.request_id}: body {call.body!r}")
    return found


def _repeated_runs(observations: SoakObservations) -> list[str]:
    path_by_id = {call.request_id: call.path for call in observations.calls}
    return [
        f"{request_id}: {count} runs of {path_by_id.get(request_id)}"
        for request_id, count in _runs(observations).items()
        if count > 1 and path_by_id.get(request_id) in SINGLE_RUN_PATHS
    ]


def _false_refusals(observations: SoakObservations) -> list[str]:
    runs = _runs(observations)
    return [
        f"{call.request_id}: {call.status} for {call.path}, "
        f"{runs[call.request_id]} runs"
        for call in observations.calls
        if call.status in NOT_RUN_STATUSES and runs.get(call.request_id)
    ]


def _late_responses(observations: SoakObservations) -> list[str]:
    found = []
    for call in observations.calls:
        due_at = (
            call.sent_at + call.deadline_seconds + MAX_RESPONSE_DELAY_SECONDS
        )
        seen_at = min(call.ended_at, call.disconnected_at)
        has_disconnected = (
            call.disconnected_at < call.sent_at + call.deadline_seconds
        )
        if has_disconnected or seen_at == math.inf or seen_at <= due_at:
            continue
        if observations.is_fault_free(call.sent_at, due_at, call.router_id):
            found.append(
                f"{call.request_id}: {call.status} at {call.router_id} after "
                f"{seen_at - call.sent_at:.2f} s of {call.deadline_seconds} s"
            )
    return found


def _sent_after_disconnect(observations: SoakObservations) -> list[str]:
    call_by_id = {call.request_id: call for call in observations.calls}
    found = []
    for upstream in observations.upstreams:
        for received in upstream.received:
            request_id = received.value_by_header.get("x-attempt-id", "")
            call = call_by_id.get(request_id)
            if (
                call is None
                or received.at
                <= call.disconnected_at + MAX_DISCONNECT_DELAY_SECONDS
            ):
                continue
            if observations.is_fault_free(
                call.sent_at, received.at, call.router_id, "link"
            ):
                found.append(
                    f"{request_id}: "
                    f"{received.at - call.disconnected_at:.2f} s after"
                )
    return found


def _old_configuration(observations: SoakObservations) -> list[str]:
    found = []
    for call in observations.calls:
        if not call.path.startswith("/flip-") or call.status not in (200, 404):
            continue
        route_changes = [
            item
            for item in observations.route_changes
            if item[0] <= call.ended_at
        ]
        since, number = route_changes[-1]
        if len(route_changes) < 2 or call.sent_at < since + MAX_APPLY_SECONDS:
            continue
        expected = 200 if call.path == f"/flip-{number}/" else 404
        is_fault_free = observations.is_fault_free(
            since, call.ended_at, call.router_id, "store", "link"
        )
        if call.status != expected and is_fault_free:
            found.append(
                f"{call.request_id}: {call.status} for {call.path} at "
                f"{call.router_id}, {call.sent_at - since:.2f} s after"
            )
    return found


def _sent_while_draining(observations: SoakObservations) -> list[str]:
    found = []
    upstream_by_id = {item.upstream_id: item for item in observations.upstreams}
    for upstream_id, started_at, ended_at in observations.drains:
        since = started_at + MAX_DRAIN_DELAY_SECONDS
        found += [
            f"{received.value_by_header.get('x-attempt-id')}: at {upstream_id}"
            f" {received.at - started_at:.2f} s after"
            for received in upstream_by_id[upstream_id].received
            if since < received.at < ended_at
            and observations.is_fault_free(
                started_at, received.at, "store", "link"
            )
        ]
    return found


def _aborted_by_shutdown(observations: SoakObservations) -> list[str]:
    """Describe requests that a graceful shutdown aborted.

    A request sent while the router closed the connection may not have been read
    and does not count; its caller can retry it.
    """
    forwarded_ids = {
        received.value_by_header.get("x-attempt-id")
        for upstream in observations.upstreams
        for received in upstream.received
    }
    found = []
    for span in observations.spans:
        if span.kind != "terminate":
            continue
        for call in observations.calls:
            was_in_flight = (
                call.router_id == span.subject
                and call.is_closed_early
                and span.start - 0.5 <= call.sent_at
                and call.ended_at <= span.end
                and (
                    call.request_id in forwarded_ids
                    or call.ended_at - call.sent_at > CLOSE_RACE_SECONDS
                )
            )
            others = [item for item in observations.spans if item is not span]
            if was_in_flight and not any(
                item.overlaps(call.sent_at - 1.0, call.ended_at)
                for item in others
            ):
                found.append(f"{call.request_id}: status {call.status}")
    return found


def _recovery(observations: SoakObservations) -> list[str]:
    calls = [
        call
        for call in observations.calls
        if call.sent_at > observations.faults_end_at
        and not call.path.startswith("/flip-")
        and call.disconnected_at == math.inf
        and call.ended_at < math.inf
    ]
    served = sum(call.status == 200 and call.is_complete for call in calls)
    if calls and served >= MIN_SERVED_FRACTION * len(calls):
        return []
    return [f"{served} of {len(calls)} requests served after the last fault"]
