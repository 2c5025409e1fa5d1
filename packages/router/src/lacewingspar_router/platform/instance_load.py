"""Load that the platform's upstreams report in their responses."""

import structlog

from lacewingspar_core.reported_load import LoadReport
from lacewingspar_router.platform.header_numbers import (
    HeaderNumberError,
    NumberRange,
    read_number,
)

# More requests than any upstream has, and slower than any that still works.
_REQUESTS = NumberRange(maximum=1_000_000)
_PERCENT = NumberRange(maximum=1_000_000, is_whole=False)
# Fields without the slowness, which only upstreams on shared machines send.
_MIN_FIELDS = 3
# Upstreams whose invalid load is logged, once each.
_MAX_LOGGED_UPSTREAMS = 256

_LOGGER = structlog.get_logger(__name__)


class InstanceLoads:
    """Reads the loads, and logs wrong ones once for each upstream."""

    def __init__(self) -> None:
        self._logged_ids: set[str] = set()

    def read(self, upstream_id: str, text: str) -> LoadReport | None:
        """Return the load in a header, or None if it is empty or wrong."""
        if not text:
            return None
        try:
            return _parse(text)
        except HeaderNumberError as error:
            self._log_once(upstream_id, text, str(error))
            return None

    def _log_once(self, upstream_id: str, text: str, reason: str) -> None:
        logged = self._logged_ids
        if upstream_id in logged or len(logged) >= _MAX_LOGGED_UPSTREAMS:
            return
        logged.add(upstream_id)
        _LOGGER.warning(
            "reported load ignored; logged once for each upstream",
            upstream=upstream_id,
            value=text,
            reason=reason,
        )


def _parse(text: str) -> LoadReport:
    """Return the load in a header; fields behind the fourth are ignored.

    Raises:
        HeaderNumberError: It has too few fields or a wrong number.
    """
    fields = [item.strip() for item in text.split(",")]
    if len(fields) < _MIN_FIELDS:
        raise HeaderNumberError(f"fewer than {_MIN_FIELDS} fields")
    running, waiting, slots = (
        int(read_number(item, _REQUESTS)) for item in fields[:_MIN_FIELDS]
    )
    if not slots:
        raise HeaderNumberError("no slots")
    if len(fields) == _MIN_FIELDS:
        return LoadReport(running, waiting, slots)
    percent = round(read_number(fields[_MIN_FIELDS], _PERCENT))
    return LoadReport(running, waiting, slots, percent)
