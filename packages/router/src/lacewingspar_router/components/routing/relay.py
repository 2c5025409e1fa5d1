"""Passes shared state between routers when one cannot read the log."""

import asyncio

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
from lacewingspar_router.components.routing.reading import ReadingRole
from lacewingspar_router.components.routing.state import RoutingState


class StateRelay:
    """Tells peers of changes and fetches what this router has missed.

    Args:
        app: The application.
        state: State of this router.
        role: Whether this router reads the log for its data centre.
        is_cut_off: Set while this router knows of nobody who reads the log.
    """

    def __init__(
        self,
        app: Application,
        state: RoutingState,
        role: ReadingRole,
        is_cut_off: asyncio.Event,
    ) -> None:
        self._app = app
        self._state = state
        self._role = role
        self._is_cut_off = is_cut_off
        self._asked_at = float("-inf")
        self._peers = app.get(PEERS)
        self._peers.subscribe(StateNotice, self._on_notice)
        self._peers.subscribe(StateRequest, self._on_request)
        self._peers.subscribe(StateReply, self._on_reply)
        state.add_listener(self._tell)

    async def async_fetch_while_unavailable(self) -> None:
        """Ask peers for newer state while the log cannot be read."""
        while True:
            await self._is_cut_off.wait()
            self._ask(self._some_peer())
            await asyncio.sleep(const.RELAY_INTERVAL_SECONDS)

    def confirm(self) -> None:
        """Tell the own data centre that this router has just read the log."""
        if not self._role.is_reader:
            return
        notice = self._notice()
        for router_id, record in self._peers.alive_by_router_id.items():
            if (
                record.data_centre == self._app.settings.data_centre
                and router_id != self._app.life.router_id
            ):
                self._peers.send(router_id, notice)

    def _notice(self) -> StateNotice:
        return StateNotice(
            self._state.configuration_version,
            self._state.directory_offset,
            self._state.changed_offset,
            self._role.is_reader and not self._is_cut_off.is_set(),
        )

    def _tell(self) -> None:
        """Tell some peers how new the state of this router is.

        A reader tells its whole data centre, whose routers wait for nothing
        else.
        """
        if self._role.is_following:
            return
        notice = self._notice()
        by_data_centre: dict[str, list[str]] = {}
        for router_id, record in self._peers.alive_by_router_id.items():
            if router_id != self._app.life.router_id:
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
            if is_local and self._role.is_reader:
                fanout = len(router_ids)
            count = min(fanout, len(router_ids))
            for router_id in self._app.random.sample(router_ids, count):
                self._peers.send(router_id, notice)

    def _on_notice(self, received: ReceivedMessage) -> None:
        notice = received.message
        assert isinstance(notice, StateNotice)
        router_id = received.sender.router_id
        if notice.is_confirmed:
            self._role.note_confirmation(router_id)
            self._is_cut_off.clear()
        if not self._is_behind(notice):
            if notice.is_confirmed:
                self._state.confirm_directory(notice.directory_offset)
            return
        if notice.is_confirmed and not self._role.is_reader:
            self._ask(router_id)
        else:
            asyncio.get_running_loop().call_later(
                const.CATCH_UP_DELAY_SECONDS,
                self._catch_up,
                router_id,
                notice,
            )

    def _catch_up(self, router_id: str, notice: StateNotice) -> None:
        if self._is_behind(notice):
            self._ask(router_id)

    def _is_behind(self, notice: StateNotice) -> bool:
        return (
            notice.configuration_version > self._state.configuration_version
            or notice.changed_offset > self._state.directory_offset
        )

    def _ask(self, router_id: str | None) -> None:
        now = self._app.now()
        if router_id is None or now < self._asked_at + const.ASK_AGAIN_SECONDS:
            return
        self._asked_at = now
        request = StateRequest(
            self._state.configuration_version, self._state.directory_offset
        )
        self._peers.send(router_id, request)

    def _some_peer(self) -> str | None:
        """Return a peer that serves, of the own data centre if possible."""
        others = [
            (record.data_centre == self._app.settings.data_centre, router_id)
            for router_id, record in self._peers.alive_by_router_id.items()
            if router_id != self._app.life.router_id
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
            else self._state.records_after(request.directory_offset)
        )
        if not has_newer and not records:
            return
        self._peers.send(
            received.sender.router_id,
            StateReply(
                configuration_version=self._state.configuration_version,
                configuration=stored.data if has_newer and stored else b"",
                directory_offset=self._state.directory_offset,
                records=tuple(
                    DirectoryRecord(item.key, item.value, item.offset)
                    for item in records
                ),
                is_listing=is_listing,
                may_have_lapsed=self._state.may_have_lapsed,
            ),
        )

    def _on_reply(self, received: ReceivedMessage) -> None:
        reply = received.message
        assert isinstance(reply, StateReply)
        origin = f"router {received.sender.router_id}"
        if reply.configuration:
            self._state.apply_configuration(reply.configuration, origin)
        if reply.directory_offset <= self._state.directory_offset:
            return
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
                may_have_lapsed=reply.may_have_lapsed,
            )
            return
        self._state.apply_upstream_records(
            records,
            reply.directory_offset,
            origin,
            may_have_lapsed=reply.may_have_lapsed,
        )
