"""Fair scheduling of upstream slots across the fleet."""

from pathlib import Path

from lacewingspar_core.replay import TraceHeader
from lacewingspar_router.application import Application
from lacewingspar_router.components.configuration.models import CONFIGURATION
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.scheduler.event_recorder import (
    EventRecorder,
)
from lacewingspar_router.components.scheduler.models import SCHEDULER
from lacewingspar_router.components.scheduler.scheduler import FleetScheduler
from lacewingspar_router.components.upstreams.models import UPSTREAMS


async def async_setup(app: Application) -> None:
    """Set up the scheduler and start its periodic tasks."""
    recorder = None
    if app.settings.event_record_file is not None:
        header = TraceHeader(app.instance, app.settings.data_centre)
        recorder = EventRecorder(Path(app.settings.event_record_file), header)
        app.on_unload("event recorder", recorder.async_close)
    scheduler = FleetScheduler(
        app,
        app.get(PEERS),
        app.get(CONFIGURATION),
        app.get(UPSTREAMS),
        recorder,
    )
    app.register(SCHEDULER, scheduler)
    scheduler.reconfigure()
    app.create_task(scheduler.async_tick(), "scheduler tick")
    app.on_drain("scheduler", scheduler.async_drain)
