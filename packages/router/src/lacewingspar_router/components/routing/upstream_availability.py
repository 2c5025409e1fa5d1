"""Applies what upstreams announce, and tells it to other routers."""

from typing import assert_never

import structlog

from lacewingspar_core.directory import UpstreamEntry
from lacewingspar_core.state_messages import UpstreamLeaving
from lacewingspar_core.upstream_notices import (
    Leaving,
    RetryAfter,
    UpstreamNotice,
)
from lacewingspar_router.application import Application
from lacewingspar_router.components.peers.models import PEERS, ReceivedMessage
from lacewingspar_router.components.routing.state import RoutingState
from lacewingspar_router.components.telemetry.models import TELEMETRY

_LOGGER = structlog.get_logger(__name__)

_ORIGIN_RESPONSE = "response"


class KnownUpstreamAvailability:
    """Records notices of upstreams and answers which of them get requests.

    An upstream that leaves does so for all routers, so they are told. A request
    to wait concerns only the router that received it.

    Args:
        app: The application.
        state: Upstreams known to this router.
    """

    def __init__(self, app: Application, state: RoutingState) -> None:
        assert app.settings.platform is not None
        self._app = app
        self._state = state
        self._notices = state.directory.notices
        self._max_wait_seconds = app.settings.platform.max_upstream_wait_seconds
        self._telemetry = app.get(TELEMETRY)
        self._peers = app.get(PEERS)
        self._peers.subscribe(UpstreamLeaving, self._on_leaving)

    def record(self, upstream: UpstreamEntry, notice: UpstreamNotice) -> None:
        """Record a notice in a response to this router."""
        match notice:
            case Leaving():
                is_news = self._record_leaving(upstream)
            case RetryAfter(seconds):
                is_news = self._record_wait(upstream, seconds)
            case _:
                assert_never(notice)
        if not is_news:
            self._telemetry.count(
                "responses_after_notice_total",
                service=upstream.service,
                notice=_NAME_BY_NOTICE[type(notice)],
            )

    def withheld(self) -> frozenset[str]:
        """Return the listed upstreams that must not get a request now."""
        listed = self._state.directory.entry_by_id
        withheld = self._notices.withheld(self._app.now())
        return frozenset(item for item in withheld if item in listed)

    def try_begin(self, upstream_id: str, number: int) -> bool:
        """Return whether a request may be sent to an upstream now."""
        return self._notices.try_begin(upstream_id, number, self._app.now())

    def end_probe(self, upstream_id: str, number: int) -> None:
        """Record the end of a request that may have been a probe."""
        self._notices.end_probe(upstream_id, number)

    def seconds_until_return(self, service: str) -> float | None:
        """Return how long all upstreams of a service want no requests."""
        withheld = self.withheld()
        if not withheld:
            return None
        ready = self._state.directory.ready_upstreams(service).keys()
        if not ready <= withheld:
            return None
        returns = [self._notices.returns_at(item) for item in ready]
        return min(
            (at - self._app.now() for at in returns if at is not None),
            default=None,
        )

    def _record_notice(
        self, upstream_id: str, born_ms: int, notice: UpstreamNotice
    ) -> bool:
        """Record a notice; return whether it is news about this incarnation.

        One of an earlier incarnation than the listed one is ignored.
        """
        listed = self._state.directory.entry_by_id.get(upstream_id)
        if listed is not None and listed.born_ms > born_ms:
            return False
        return self._notices.record(
            upstream_id, born_ms, notice, self._app.now()
        )

    def _record_wait(self, upstream: UpstreamEntry, seconds: float) -> bool:
        bounded = min(seconds, self._max_wait_seconds)
        is_news = self._record_notice(
            upstream.upstream_id, upstream.born_ms, RetryAfter(bounded)
        )
        if is_news:
            _LOGGER.info(
                "upstream asked to wait",
                upstream=upstream.upstream_id,
                service=upstream.service,
                born_ms=upstream.born_ms,
                seconds=bounded,
                requested_seconds=seconds,
                origin=_ORIGIN_RESPONSE,
            )
        return is_news

    def _record_leaving(self, upstream: UpstreamEntry) -> bool:
        """Record that an upstream leaves; return whether this is news.

        Other routers are told unless the registry has listed it as draining.
        """
        message = UpstreamLeaving(upstream.upstream_id, upstream.born_ms)
        is_news = self._record_notice(
            message.upstream_id, message.born_ms, Leaving()
        )
        if is_news and self._apply_leaving(message, _ORIGIN_RESPONSE):
            self._tell_peers(message)
        return is_news

    def _apply_leaving(self, message: UpstreamLeaving, origin: str) -> bool:
        """Log a notice and apply it; return whether it ended the use."""
        _LOGGER.info(
            "upstream announced that it is leaving",
            upstream=message.upstream_id,
            born_ms=message.born_ms,
            origin=origin,
            directory_age_ms=round(self._state.directory_age_seconds * 1e3),
        )
        return self._state.mark_leaving(
            message.upstream_id, message.born_ms, origin
        )

    def _tell_peers(self, message: UpstreamLeaving) -> None:
        for router_id in self._peers.alive_by_router_id:
            if router_id != self._app.instance.router_id:
                self._peers.send(router_id, message)

    def _on_leaving(self, received: ReceivedMessage) -> None:
        message = received.message
        assert isinstance(message, UpstreamLeaving)
        is_news = self._record_notice(
            message.upstream_id, message.born_ms, Leaving()
        )
        if is_news:
            self._apply_leaving(message, f"router {received.sender.router_id}")


_NAME_BY_NOTICE: dict[type[UpstreamNotice], str] = {
    Leaving: "leaving",
    RetryAfter: "retry_after",
}
