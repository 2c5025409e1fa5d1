"""Admission of requests to upstreams by the owners of pools."""

import asyncio

from lacewingspar_router.application import Application
from lacewingspar_router.components.admission import const
from lacewingspar_router.components.admission.holder import FleetAdmission
from lacewingspar_router.components.admission.models import ADMISSION


async def async_setup(app: Application) -> None:
    """Set up both roles and their periodic work."""
    admission = FleetAdmission(app)
    app.register(ADMISSION, admission)
    app.create_task(_async_tick(admission), "admission tick")
    app.create_task(_async_report(admission), "report runs")


async def _async_tick(admission: FleetAdmission) -> None:
    while True:
        await asyncio.sleep(const.TICK_SECONDS)
        admission.tick()


async def _async_report(admission: FleetAdmission) -> None:
    while True:
        await asyncio.sleep(const.REPORT_INTERVAL_SECONDS)
        admission.report_runs()
        admission.report_pools()
