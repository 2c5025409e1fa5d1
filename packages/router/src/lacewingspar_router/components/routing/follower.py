"""Reads a keyed topic continuously."""

import asyncio
import random
from collections.abc import Callable

import structlog

from lacewingspar_router.components.routing import const
from lacewingspar_router.components.routing.errors import (
    TopicRestoredError,
    TopicTruncatedError,
    TopicUnavailableError,
)
from lacewingspar_router.components.routing.models import (
    KeyedTopic,
    TopicListing,
    TopicRecords,
)
from lacewingspar_router.components.routing.reader_role import LogReaderRole
from lacewingspar_router.loop_guard import LoopGuard

_LOGGER = structlog.get_logger(__name__)


class TopicFollower:
    """Lists a topic, then reads its new records until cancelled.

    It does neither while another router supplies the topic.

    Attributes:
        is_available: Whether the last read succeeded.

    Args:
        topic: Topic to follow.
        on_listing: Called with the newest record of each key.
        on_records: Called with the records after the listing.
        on_failure: Called after each failed read, before `is_available`
            changes.
        wait_seconds: Long-poll duration of a read.
        read_delay_seconds: Delay between reads.
        role: Decides when this router has to read the log.
        generator: Random generator for the jitter of retries.
        guard: Guards the application of what was read.
        known_offset: Returns the offset up to which other routers have
            supplied the topic.
    """

    def __init__(
        self,
        topic: KeyedTopic,
        on_listing: Callable[[TopicListing], None],
        on_records: Callable[[TopicRecords], None],
        on_failure: Callable[[TopicUnavailableError], None],
        wait_seconds: float,
        read_delay_seconds: float,
        role: LogReaderRole,
        generator: random.Random,
        guard: LoopGuard,
        known_offset: Callable[[], int] = lambda: 0,
    ) -> None:
        self._topic = topic
        self._role = role
        self._known_offset = known_offset
        self._on_listing = on_listing
        self._on_records = on_records
        self._on_failure = on_failure
        self._wait_seconds = wait_seconds
        self._read_delay_seconds = read_delay_seconds
        self._random = generator
        self._guard = guard
        self._offset: int | None = None
        # Ends the wait for new records, if there is one.
        self._wait: asyncio.Timeout | None = None
        self.is_available = True

    def repeat_wait(self) -> None:
        """Wait for new records on another connection, if waiting."""
        if self._wait is not None:
            self._wait.reschedule(asyncio.get_running_loop().time())

    async def async_run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            try:
                await self._async_read_once()
            except TopicTruncatedError as error:
                _LOGGER.info(
                    "unread records dropped from topic; listing it again",
                    topic=self._topic.name,
                    offset=self._offset,
                    reason=str(error),
                )
                self._offset = None
                await self._async_sleep_with_jitter(
                    const.READ_RETRY_DELAY_SECONDS
                )
            except TopicRestoredError as error:
                _LOGGER.warning(
                    "log restored to an older state; listing it again",
                    topic=self._topic.name,
                    offset=self._offset,
                    reason=str(error),
                )
                self._offset = None
            except TopicUnavailableError as error:
                self._on_failure(error)
                self._set_available(is_available=False, reason=str(error))
                await self._async_sleep_with_jitter(
                    self._role.retry_delay_seconds
                )
            else:
                self._set_available(is_available=True, reason="")
                if self._guard.has_failed:
                    # What was read may be applied in part.
                    self._offset = None
                    await self._async_sleep_with_jitter(
                        const.READ_RETRY_DELAY_SECONDS
                    )
                await asyncio.sleep(self._read_delay_seconds)

    async def _async_read_once(self) -> None:
        await self._role.async_wait_until_read_due()
        if self._offset is None:
            listing = await self._topic.async_read_newest()
            self._offset = listing.end_offset
            with self._guard:
                self._on_listing(listing)
            return
        self._offset = max(self._offset, self._known_offset())
        records = await self._async_read_records(self._offset)
        self._offset = records.next_offset
        with self._guard:
            self._on_records(records)

    async def _async_read_records(self, offset: int) -> TopicRecords:
        while True:
            try:
                async with asyncio.timeout(None) as self._wait:
                    return await self._topic.async_read(
                        offset, self._wait_seconds
                    )
            except TimeoutError:
                _LOGGER.info(
                    "read of the log repeated on another connection",
                    topic=self._topic.name,
                    offset=offset,
                )
            finally:
                self._wait = None

    async def _async_sleep_with_jitter(self, seconds: float) -> None:
        await asyncio.sleep(seconds * self._random.uniform(0.5, 1.0))

    def _set_available(self, *, is_available: bool, reason: str) -> None:
        if is_available == self.is_available:
            return
        self.is_available = is_available
        if is_available:
            _LOGGER.info("log service available again", topic=self._topic.name)
        else:
            _LOGGER.warning(
                "log service unavailable", topic=self._topic.name, reason=reason
            )
