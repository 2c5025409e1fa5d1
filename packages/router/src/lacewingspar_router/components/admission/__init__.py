"""Admission of requests to upstreams by the routers that own their pools."""

import asyncio

from lacewingspar_router.application import Application
from lacewingspar_router.components.admission import const
from lacewingspar_router.components.admission.ingress import FleetAdmission
from lacewingspar_router.components.admission.models import ADMISSION
from lacewingspar_router.loop_guard import LoopGuard


async def async_setup(app: Application) -> None:
    """Set up the ingress and owner roles and their periodic tasks."""
    admission = FleetAdmission(app)
    app.register(ADMISSION, admission)
    app.create_task(_async_tick_periodically(app, admission), "admission tick")
    app.create_task(_async_report_periodically(app, admission), "report runs")


async def _async_tick_periodically(
    app: Application, admission: FleetAdmission
) -> None:
    guard = LoopGuard(app, "admission tick")
    while True:
        await asyncio.sleep(const.TICK_INTERVAL_SECONDS)
        with guard:
            admission.tick()


async def _async_report_periodically(
    app: Application, admission: FleetAdmission
) -> None:
    guard = LoopGuard(app, "report of runs")
    while True:
        await asyncio.sleep(const.RUN_REPORT_INTERVAL_SECONDS)
        with guard:
            admission.report_runs()
            admission.log_pool_loads()
