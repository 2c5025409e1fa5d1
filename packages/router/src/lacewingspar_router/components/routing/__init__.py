"""Keeps configuration and upstreams in sync through the log service."""

import asyncio

from lacewingspar_router.application import Application
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.routing import const
from lacewingspar_router.components.routing.errors import (
    TopicSilentError,
    TopicUnavailableError,
)
from lacewingspar_router.components.routing.follower import TopicFollower
from lacewingspar_router.components.routing.models import (
    ROUTING,
    ROUTING_SOURCE,
    UPSTREAM_AVAILABILITY,
    RoutingSource,
    TopicListing,
    TopicRecords,
)
from lacewingspar_router.components.routing.reader_role import LogReaderRole
from lacewingspar_router.components.routing.registration import Registration
from lacewingspar_router.components.routing.state import (
    ORIGIN_LOG,
    RoutingState,
)
from lacewingspar_router.components.routing.state_synchronizer import (
    StateSynchronizer,
)
from lacewingspar_router.components.routing.upstream_availability import (
    KnownUpstreamAvailability,
)
from lacewingspar_router.loop_guard import LoopGuard


async def async_setup(app: Application) -> None:
    """Start following the shared topics and register this router."""
    source = app.get(ROUTING_SOURCE)
    state = RoutingState(app, source)
    app.register(ROUTING, state)
    app.register(UPSTREAM_AVAILABILITY, KnownUpstreamAvailability(app, state))
    app.get(PEERS).set_applied_offset_source(
        lambda: max(0, state.configuration_version)
    )
    is_log_unreachable = asyncio.Event()
    is_log_unreachable.set()
    role = LogReaderRole(app, lambda: state.position)
    synchronizer = StateSynchronizer(app, state, role, is_log_unreachable)
    configuration = _configuration_follower(
        app, state, source, role, is_log_unreachable
    )
    upstreams = _upstream_follower(
        app,
        state,
        source,
        role,
        synchronizer,
        configuration,
        is_log_unreachable,
    )
    registration = Registration(
        app, source.routers, role, synchronizer.request_missing_state
    )
    state.set_restored_listener(registration.record_log_restored)
    assert app.settings.platform is not None
    registration.contact_seeds(app.settings.platform.seed_hosts)
    app.create_task(configuration.async_run(), "follow configuration")
    app.create_task(upstreams.async_run(), "follow upstreams")
    app.create_task(registration.async_register(), "register router")
    app.create_task(
        registration.async_register_again(lambda: state.era),
        "register router again",
    )
    app.create_task(registration.async_read_tokens(), "read tokens")
    app.create_task(
        synchronizer.async_fetch_while_unavailable(), "fetch shared state"
    )
    app.create_task(_async_expire(app, state), "expire upstreams")


def _configuration_follower(
    app: Application,
    state: RoutingState,
    source: RoutingSource,
    role: LogReaderRole,
    is_log_unreachable: asyncio.Event,
) -> TopicFollower:
    key = source.configuration_key

    def on_listing(listing: TopicListing) -> None:
        state.evacuation.apply_listing(listing, "log listing")
        record = listing.record_by_key.get(key)
        if record is not None:
            state.apply_configuration(record.value, "log listing")

    def on_records(records: TopicRecords) -> None:
        state.evacuation.apply_records(records.records, ORIGIN_LOG)
        # Intermediate versions are skipped.
        newest = [item for item in records.records if item.key == key]
        if newest:
            state.apply_configuration(newest[-1].value, ORIGIN_LOG)

    return TopicFollower(
        source.configuration,
        on_listing,
        on_records,
        lambda _: is_log_unreachable.set(),
        const.CONFIGURATION_LONG_POLL_SECONDS,
        const.CONFIGURATION_READ_PAUSE_SECONDS,
        role,
        app.random,
        LoopGuard(app, "configuration records"),
    )


def _upstream_follower(
    app: Application,
    state: RoutingState,
    source: RoutingSource,
    role: LogReaderRole,
    synchronizer: StateSynchronizer,
    configuration: TopicFollower,
    is_log_unreachable: asyncio.Event,
) -> TopicFollower:
    def on_read() -> None:
        is_log_unreachable.clear()
        if configuration.is_available:
            synchronizer.send_confirmation()

    def on_listing(listing: TopicListing) -> None:
        state.apply_upstream_listing(listing)
        on_read()

    def on_records(records: TopicRecords) -> None:
        state.apply_upstream_records(
            records.records, records.next_offset, ORIGIN_LOG
        )
        on_read()

    def on_failure(error: TopicUnavailableError) -> None:
        if isinstance(error, TopicSilentError) and upstreams.is_available:
            # This read waits longer, on a connection that is as old.
            configuration.repeat_wait()
        is_log_unreachable.set()
        state.mark_unavailable()

    upstreams = TopicFollower(
        source.upstreams,
        on_listing,
        on_records,
        on_failure,
        const.UPSTREAM_LONG_POLL_SECONDS,
        const.UPSTREAM_READ_PAUSE_SECONDS,
        role,
        app.random,
        LoopGuard(app, "upstream records"),
        lambda: state.directory_offset,
    )
    return upstreams


async def _async_expire(app: Application, state: RoutingState) -> None:
    guard = LoopGuard(app, "expiry of upstreams")
    while True:
        await asyncio.sleep(const.EXPIRY_CHECK_INTERVAL_SECONDS)
        with guard:
            state.expire()
