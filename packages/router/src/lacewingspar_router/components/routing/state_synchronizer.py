"""Synchronizes the shared state between routers."""

import asyncio
from collections.abc import Iterable

import structlog

from lacewingspar_core.confirmed_state import StatePosition
from lacewingspar_core.evacuations import Evacuations
from lacewingspar_core.log_readers import ReaderRank
from lacewingspar_core.messages import RouterState
from lacewingspar_core.state_messages import (
    DirectoryRecord,
    StateNotice,
    StateReply,
    StateRequest,
)
from lacewingspar_router.application import Application
from lacewingspar_router.components.peers.models import PEERS, ReceivedMessage
from lacewingspar_router.components.routing import const
from lacewingspar_router.components.routing.models import (
    KeyedRecord,
    TopicListing,
)
from lacewingspar_router.components.routing.reader_role import LogReaderRole
from lacewingspar_router.components.routing.state import RoutingState
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.loop_guard import LoopGuard

_LOGGER = structlog.get_logger(__name__)


class StateSynchronizer:
    """Notifies peers of changes and requests the changes that it lacks.

    Args:
        app: The application.
        state: State of this router.
        role: Whether this router is a log reader of its data centre.
        is_log_unreachable: Set while this router neither reads the log itself
            nor receives confirmations from a reader.
    """

    def __init__(
        self,
        app: Application,
        state: RoutingState,
        role: LogReaderRole,
        is_log_unreachable: asyncio.Event,
    ) -> None:
        self._app = app
        self._state = state
        self._role = role
        self._is_log_unreachable = is_log_unreachable
        self._requested_at = float("-inf")
        # Whether a confirmation from another data centre was not yet passed on.
        self._must_relay = False
        self._telemetry = app.get(TELEMETRY)
        self._peers = app.get(PEERS)
        self._peers.subscribe(StateNotice, self._on_notice)
        self._peers.subscribe(StateRequest, self._on_request)
        self._peers.subscribe(StateReply, self._on_reply)
        state.add_listener(self._notify_peers)

    async def async_fetch_while_unavailable(self) -> None:
        """Request newer state from peers while the log is unreachable."""
        guard = LoopGuard(self._app, "requests for shared state")
        while True:
            await self._is_log_unreachable.wait()
            with guard:
                self._request_state(self._choose_peer())
            await asyncio.sleep(const.OUTAGE_REQUEST_INTERVAL_SECONDS)

    def request_missing_state(self, router_ids: Iterable[str]) -> None:
        """Request the state that this router lacks after its start."""
        if self._state.is_ready:
            return
        request = self._make_request()
        for router_id in router_ids:
            self._peers.send(router_id, request)

    def _make_request(self) -> StateRequest:
        return StateRequest(
            self._state.configuration_version,
            self._state.directory_offset,
            self._state.evacuation.current.offset,
        )

    def send_confirmation(self) -> None:
        """Confirm to the followers of this router that the log was read."""
        if not self._role.confirms_reads:
            return
        notice = self._make_notice()
        for router_id in self._role.confirmation_receivers():
            self._peers.send(router_id, notice)

    def _make_notice(self) -> StateNotice:
        return StateNotice(
            self._state.configuration_version,
            self._state.directory_offset,
            self._state.changed_offset,
            self._role.confirms_reads and not self._is_log_unreachable.is_set(),
            self._state.evacuation.current.offset,
        )

    def _notify_peers(self) -> None:
        """Send some peers the version and offsets of this router's state.

        A router with followers notifies all of them.
        """
        if self._role.is_following:
            return
        notice = self._make_notice()
        receivers: set[str] = set()
        by_data_centre: dict[str, list[str]] = {}
        for router_id, record in self._peers.alive_by_router_id.items():
            if router_id != self._app.instance.router_id:
                by_data_centre.setdefault(record.data_centre, []).append(
                    router_id
                )
        for data_centre, router_ids in by_data_centre.items():
            is_local = data_centre == self._app.settings.data_centre
            fanout = (
                const.NOTICE_LOCAL_FANOUT
                if is_local
                else const.NOTICE_REMOTE_FANOUT
            )
            count = min(fanout, len(router_ids))
            receivers.update(self._app.random.sample(router_ids, count))
        if self._role.confirms_reads:
            receivers.update(self._role.confirmation_receivers())
        for router_id in sorted(receivers):
            self._peers.send(router_id, notice)

    def _on_notice(self, received: ReceivedMessage) -> None:
        notice = received.message
        assert isinstance(notice, StateNotice)
        router_id = received.sender.router_id
        # A reader that does not know the evacuations cannot confirm them: it
        # has just started, or is of a version that ignores them.
        is_confirmed = notice.is_confirmed and notice.evacuation_offset >= 0
        if is_confirmed:
            self._role.record_confirmation(
                router_id,
                StatePosition(
                    notice.configuration_version,
                    notice.changed_offset,
                    notice.evacuation_offset,
                ),
            )
            self._must_relay = (
                self._role.is_relay
                and received.data_centre != self._app.settings.data_centre
            )
        if not self._is_behind(notice):
            if is_confirmed:
                self._state.confirm_directory(notice.directory_offset)
                self._use_confirmation()
            return
        if is_confirmed and self._role.rank is not ReaderRank.READER:
            self._request_lacked(router_id, notice)
        else:
            asyncio.get_running_loop().call_later(
                const.STATE_REQUEST_DELAY_SECONDS,
                self._request_if_behind,
                router_id,
                notice,
            )

    def _request_lacked(self, router_id: str, notice: StateNotice) -> None:
        """Request what a router has confirmed, of another one if need be."""
        if self._request_state(router_id):
            asyncio.get_running_loop().call_later(
                const.STATE_REPLY_TIMEOUT_SECONDS,
                self._check_reply,
                router_id,
                notice,
            )

    def _check_reply(self, router_id: str, notice: StateNotice) -> None:
        """Ask another router if a reply has not arrived."""
        if not self._is_behind(notice):
            return
        other_id = self._choose_peer(router_id)
        self._telemetry.count(const.METRIC_LOST_STATE_REQUESTS)
        _LOGGER.warning(
            "no reply to a request for confirmed state",
            reader=router_id,
            confirmed_version=notice.configuration_version,
            configuration_version=self._state.configuration_version,
            confirmed_offset=notice.changed_offset,
            directory_offset=self._state.directory_offset,
            confirmed_evacuation_offset=notice.evacuation_offset,
            evacuation_offset=self._state.evacuation.current.offset,
            asked_next=other_id,
        )
        if other_id is not None:
            self._peers.send(other_id, self._make_request())

    def _use_confirmation(self) -> None:
        """Rely on a confirmation, and pass it on if this router is a relay."""
        self._is_log_unreachable.clear()
        if self._must_relay:
            self._must_relay = False
            self.send_confirmation()

    def _request_if_behind(self, router_id: str, notice: StateNotice) -> None:
        if self._is_behind(notice):
            self._request_state(router_id)

    def _is_behind(self, notice: StateNotice) -> bool:
        return (
            notice.configuration_version > self._state.configuration_version
            or notice.changed_offset > self._state.directory_offset
            or notice.evacuation_offset > self._state.evacuation.current.offset
        )

    def _request_state(self, router_id: str | None) -> bool:
        """Request newer state; return whether a request was sent."""
        now = self._app.now()
        if (
            router_id is None
            or now
            < self._requested_at + const.STATE_REQUEST_MIN_INTERVAL_SECONDS
        ):
            return False
        self._requested_at = now
        self._peers.send(router_id, self._make_request())
        return True

    def _choose_peer(self, excluded_id: str = "") -> str | None:
        """Return a random peer, from the local data centre if possible."""
        others = [
            (record.data_centre == self._app.settings.data_centre, router_id)
            for router_id, record in self._peers.alive_by_router_id.items()
            if router_id not in (self._app.instance.router_id, excluded_id)
            and record.state is not RouterState.STARTING
        ]
        if not others:
            return None
        local = [router_id for is_local, router_id in others if is_local]
        candidates = local or [router_id for _, router_id in others]
        return self._app.random.choice(candidates)

    def _on_request(self, received: ReceivedMessage) -> None:
        request = received.message
        assert isinstance(request, StateRequest)
        stored = self._state.stored_configuration
        has_newer = (
            stored is not None
            and stored.configuration.version > request.configuration_version
        )
        is_listing = self._state.needs_listing(request.directory_offset)
        records = (
            self._state.listed_records()
            if is_listing
            else self._state.records_since(request.directory_offset)
        )
        evacuations = self._state.evacuation.current
        has_evacuations = evacuations.offset > request.evacuation_offset
        if not has_newer and not records and not has_evacuations:
            return
        # The reply leaves out what the process that asks has already.
        self._peers.send_to_instance(
            received.sender,
            StateReply(
                configuration_version=self._state.configuration_version,
                configuration=stored.data if has_newer and stored else b"",
                directory_offset=self._state.directory_offset,
                records=tuple(
                    DirectoryRecord(item.key, item.value, item.offset)
                    for item in records
                ),
                is_listing=is_listing,
                expiry_grace_ms=round(self._state.expiry_grace_seconds * 1000),
                evacuation_offset=evacuations.offset,
                evacuated_data_centres=tuple(sorted(evacuations.data_centres)),
                kept_data_centres=tuple(
                    sorted(self._state.evacuation.kept_data_centres)
                ),
            ),
        )

    def _on_reply(self, received: ReceivedMessage) -> None:
        reply = received.message
        assert isinstance(reply, StateReply)
        # A change right after this reply may be requested at once.
        self._requested_at = float("-inf")
        self._apply_reply(reply, received)
        if self._role.is_following and not self._role.lacks_confirmed_state:
            self._use_confirmation()

    def _apply_reply(
        self, reply: StateReply, received: ReceivedMessage
    ) -> None:
        origin = f"router {received.sender.router_id}"
        self._state.evacuation.adopt(
            Evacuations(
                frozenset(reply.evacuated_data_centres), reply.evacuation_offset
            ),
            origin,
            frozenset(reply.kept_data_centres),
        )
        if reply.configuration:
            self._state.apply_configuration(reply.configuration, origin)
        if reply.directory_offset <= self._state.directory_offset:
            return
        grace_seconds = reply.expiry_grace_ms / 1000
        records = [
            KeyedRecord(item.key, item.value, item.offset)
            for item in reply.records
        ]
        if reply.is_listing:
            self._state.apply_upstream_listing(
                TopicListing(
                    {item.key: item for item in records}, reply.directory_offset
                ),
                origin,
                expiry_grace_seconds=grace_seconds,
            )
            return
        self._state.apply_upstream_records(
            records,
            reply.directory_offset,
            origin,
            expiry_grace_seconds=grace_seconds,
        )
