"""Configuration, upstreams and routers, as shared through the log service."""

import asyncio

from lacewingspar_router.application import Application
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.routing import const
from lacewingspar_router.components.routing.follower import TopicFollower
from lacewingspar_router.components.routing.models import (
    ROUTING,
    ROUTING_SOURCE,
    RoutingSource,
    TopicListing,
    TopicRecords,
)
from lacewingspar_router.components.routing.reading import ReadingRole
from lacewingspar_router.components.routing.registration import Registration
from lacewingspar_router.components.routing.relay import StateRelay
from lacewingspar_router.components.routing.state import (
    ORIGIN_LOG,
    RoutingState,
)


async def async_setup(app: Application) -> None:
    """Follow the shared topics and register this router."""
    source = app.get(ROUTING_SOURCE)
    state = RoutingState(app, source)
    app.register(ROUTING, state)
    app.get(PEERS).set_applied_offset_source(
        lambda: max(0, state.configuration_version)
    )
    is_cut_off = asyncio.Event()
    is_cut_off.set()
    role = ReadingRole(app)
    relay = StateRelay(app, state, role, is_cut_off)
    configuration = _configuration_follower(
        app, state, source, role, is_cut_off
    )
    upstreams = _upstream_follower(
        app, state, source, role, relay, configuration, is_cut_off
    )
    registration = Registration(app, source.members)
    assert app.settings.platform is not None
    registration.contact_seeds(app.settings.platform.seed_hosts)
    app.create_task(configuration.async_run(), "follow configuration")
    app.create_task(upstreams.async_run(), "follow upstreams")
    app.create_task(registration.async_register(), "register router")
    app.create_task(relay.async_fetch_while_unavailable(), "fetch shared state")
    app.create_task(_async_expire(state), "expire upstreams")


def _configuration_follower(
    app: Application,
    state: RoutingState,
    source: RoutingSource,
    role: ReadingRole,
    is_cut_off: asyncio.Event,
) -> TopicFollower:
    key = source.configuration_key

    def on_listing(listing: TopicListing) -> None:
        record = listing.record_by_key.get(key)
        if record is not None:
            state.apply_configuration(record.value, "log listing")

    def on_records(records: TopicRecords) -> None:
        # Only the newest of several versions comes into force.
        newest = [item for item in records.records if item.key == key]
        if newest:
            state.apply_configuration(newest[-1].value, ORIGIN_LOG)

    return TopicFollower(
        source.configuration,
        on_listing,
        on_records,
        is_cut_off.set,
        const.CONFIGURATION_READ_WAIT_SECONDS,
        const.CONFIGURATION_READ_PAUSE_SECONDS,
        role,
        app.random,
    )


def _upstream_follower(
    app: Application,
    state: RoutingState,
    source: RoutingSource,
    role: ReadingRole,
    relay: StateRelay,
    configuration: TopicFollower,
    is_cut_off: asyncio.Event,
) -> TopicFollower:
    def note_read() -> None:
        is_cut_off.clear()
        if configuration.is_available:
            relay.confirm()

    def on_listing(listing: TopicListing) -> None:
        state.apply_upstream_listing(listing)
        note_read()

    def on_records(records: TopicRecords) -> None:
        state.apply_upstream_records(
            records.records, records.next_offset, ORIGIN_LOG
        )
        note_read()

    def on_failure() -> None:
        is_cut_off.set()
        state.note_unavailable()

    return TopicFollower(
        source.upstreams,
        on_listing,
        on_records,
        on_failure,
        const.UPSTREAM_READ_WAIT_SECONDS,
        const.UPSTREAM_READ_PAUSE_SECONDS,
        role,
        app.random,
        lambda: state.directory_offset,
    )


async def _async_expire(state: RoutingState) -> None:
    while True:
        await asyncio.sleep(const.EXPIRY_CHECK_SECONDS)
        state.expire()
