"""Records of a fault soak: what callers saw, and what routers logged."""

import asyncio
import time
from datetime import UTC, datetime
from pathlib import Path

import msgspec

from lacewingspar_standins.bench.soak_callers import ObservedCall


def write_calls(folder: Path, calls: list[ObservedCall]) -> None:
    """Write what callers saw, with times on the clock of the logs."""
    offset = time.time() - asyncio.get_running_loop().time()
    lines = [
        {
            "id": call.request_id,
            "behind": call.previous.request_id if call.previous else "",
            "path": call.path,
            "router": call.router_id,
            "status": call.status,
            "is_complete": call.is_complete,
            "headers": call.headers,
            "reason": call.end_reason,
        }
        | {
            name: _iso_time(offset + seconds)
            for name, seconds in (
                ("sent_at", call.sent_at),
                ("ended_at", call.ended_at),
                ("closed_at", call.closed_at),
                ("disconnected_at", call.disconnected_at),
            )
            if seconds < float("inf")
        }
        for call in calls
    ]
    (folder / "calls.jsonl").write_bytes(
        msgspec.json.Encoder().encode_lines(lines)
    )


def _iso_time(seconds: float) -> str:
    return datetime.fromtimestamp(seconds, UTC).isoformat()


def read_senders(folder: Path) -> dict[str, str]:
    """Return the routers that others handed requests over to.

    Read from their logs, because upstreams can't tell routers apart. A request
    that was not answered there may have been sent by either and maps to "".
    """
    sender_by_id: dict[str, str] = {}
    for file in sorted(folder.glob("*.log")):
        for line in file.read_bytes().splitlines():
            if b'"request handed over"' in line:
                entry = msgspec.json.decode(line)
                is_sure = entry["outcome"] == "answered"
                sender_by_id[entry["request_id"]] = (
                    entry["neighbour"] if is_sure else ""
                )
    return sender_by_id
