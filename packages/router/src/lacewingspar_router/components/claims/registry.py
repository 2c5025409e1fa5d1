"""Claim registry on top of the claim stream of the log service."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

import structlog

from lacewingspar_core.claims import (
    CLAIM_SEND_TIMEOUT_SECONDS,
    DEDUPLICATION_WINDOW_FRACTION,
    MAX_OUTCOME_BODY_BYTES,
    Claim,
    ClaimEntry,
    ClaimRecord,
    ClaimState,
    Outcome,
    OwnClaim,
    Release,
    apply_claim_record,
    claim_key,
    decode_record,
    encode_record,
    is_key_expired,
    key_time_ms,
    may_send,
)
from lacewingspar_core.errors import RecordGapError
from lacewingspar_core.messages import LogRecord
from lacewingspar_core.platform import STREAM_CLAIMS
from lacewingspar_router.application import Application
from lacewingspar_router.components.claims.const import (
    CLAIM_TIMEOUT_SECONDS,
    FLUSH_TIMEOUT_SECONDS,
    LONG_POLL_SECONDS,
    METRIC_CLAIM_ENTRIES,
    METRIC_CLAIMS,
    RELEASE_TIMEOUT_SECONDS,
    RETRY_DELAY_SECONDS,
)
from lacewingspar_router.components.claims.models import (
    ClaimAnswered,
    ClaimDecision,
    ClaimGranted,
    ClaimInProgress,
    ClaimKeyExpired,
    ClaimKeyReused,
    ClaimUnavailable,
    ClaimUnknown,
)
from lacewingspar_router.components.log_service.errors import (
    LogAppendUnknownError,
    LogServiceError,
    LogUnavailableError,
)
from lacewingspar_router.components.log_service.models import (
    LOG_SERVICE,
    LogPage,
)
from lacewingspar_router.components.peers.models import PEERS
from lacewingspar_router.components.telemetry.models import TELEMETRY

_LOGGER = structlog.get_logger(__name__)


@dataclass(frozen=True, slots=True)
class _WaitingClaim:
    """A claim of this router that has not been read back.

    Attributes:
        appended_at: Time before the append on the application's clock, in
            seconds.
        key_time_ms: Timestamp within the caller's key, if any.
        decision: Set when the claim is read back or was certainly not written.
    """

    appended_at: float
    key_time_ms: int | None
    decision: asyncio.Future[ClaimDecision]


class LogClaimRegistry:
    """Decides claims by the order of their records in the claim stream.

    Args:
        app: Application with the log service and the peers.
    """

    def __init__(self, app: Application) -> None:
        self._app = app
        self._log = app.get(LOG_SERVICE)
        self._peers = app.get(PEERS)
        self._telemetry = app.get(TELEMETRY)
        self._state = ClaimState(window_ms=0)
        self._is_current = False
        self._sequence = 0
        self._waiting_by_sequence: dict[int, _WaitingClaim] = {}
        self._unsent_by_offset: dict[int, OwnClaim] = {}
        self._changed = asyncio.Event()
        self._write_tasks: set[asyncio.Task[None]] = set()

    async def async_claim(
        self, *, service: str, workspace: str, key: str, digest: bytes
    ) -> ClaimDecision:
        """Claim an idempotency key for one call."""
        scoped_key = claim_key(service, workspace, key)
        decision = self._decide_without_claim(scoped_key, key, digest)
        if decision is None:
            decision = await self._async_append_claim(
                scoped_key, digest, key_time_ms(key)
            )
        self._telemetry.count(METRIC_CLAIMS, result=type(decision).__name__)
        return decision

    def may_send(self, claim: ClaimGranted) -> bool:
        """Consume a claim and return whether the call may be sent now."""
        own = self._unsent_by_offset.pop(claim.claim_offset, None)
        return own is not None and may_send(self._state, own, self._app.now())

    async def async_release(
        self, claim: ClaimGranted, *, was_sent: bool = False
    ) -> bool:
        """Release a claim whose call has certainly not run.

        After `may_send` has consumed the claim, it is released only with
        `was_sent`, by which the caller of this method confirms that the call
        did not run.
        """
        offset = claim.claim_offset
        is_unsent = self._unsent_by_offset.pop(offset, None) is not None
        if not (is_unsent or was_sent):
            return False
        writer = self._write_release(offset)
        done, _ = await asyncio.wait({writer}, timeout=RELEASE_TIMEOUT_SECONDS)
        return bool(done) and self._state.entry_by_offset(offset) is None

    def record_outcome(
        self, claim: ClaimGranted, response: ClaimAnswered
    ) -> None:
        """Record the first response for later attempts, in the background."""
        offset = claim.claim_offset
        body = response.body
        if body is not None and len(body) > MAX_OUTCOME_BODY_BYTES:
            body = None
        self._write(
            Outcome(offset, response.status, response.content_type, body),
            lambda: (
                (entry := self._state.entry_by_offset(offset)) is None
                or entry.outcome is not None
            ),
        )

    async def async_read_log(self) -> None:
        """Read the claim stream until cancelled."""
        while True:
            # The first read must return at once to learn the end of the stream.
            wait_seconds = LONG_POLL_SECONDS if self._is_current else 0.0
            try:
                page = await self._log.async_read(
                    STREAM_CLAIMS,
                    self._state.next_offset,
                    wait_seconds=wait_seconds,
                )
            except LogUnavailableError as error:
                if self._is_current:
                    _LOGGER.warning(
                        "cannot read claim stream", error=str(error)
                    )
                self._is_current = False
                await asyncio.sleep(RETRY_DELAY_SECONDS)
            else:
                await self._async_add_page(page)

    async def async_unload(self) -> None:
        """Wait until pending outcomes and releases are written."""
        if self._write_tasks:
            await asyncio.wait(self._write_tasks, timeout=FLUSH_TIMEOUT_SECONDS)
        if self._write_tasks:
            _LOGGER.warning(
                "outcomes or releases not written before shutdown",
                count=len(self._write_tasks),
            )

    def _decide_without_claim(
        self, scoped_key: bytes, key: str, digest: bytes
    ) -> ClaimDecision | None:
        """Return the decision on a key, or None if it needs a new claim."""
        entry = self._state.entry_by_key(scoped_key)
        if entry is not None:
            return self._decide_claimed_key(entry, digest)
        # The newest record is a lower bound if this router's clock is slow.
        now_ms = max(int(time.time() * 1000), self._state.newest_ms)
        if not self._is_current:
            return ClaimUnavailable()
        if is_key_expired(key_time_ms(key), now_ms, self._state.window_ms):
            return ClaimKeyExpired()
        return None

    def _decide_claimed_key(
        self, entry: ClaimEntry, digest: bytes
    ) -> ClaimDecision:
        """Return the decision on another attempt with a claimed key."""
        if entry.claim.digest != digest:
            return ClaimKeyReused()
        outcome = entry.outcome
        if outcome is not None:
            return ClaimAnswered(
                outcome.status, outcome.content_type, outcome.body
            )
        instance = entry.claim.instance
        member = self._peers.alive_by_router_id.get(instance.router_id)
        if instance == self._app.instance or (
            member and member.life == instance
        ):
            return ClaimInProgress()
        return ClaimUnknown()

    async def _async_append_claim(
        self, scoped_key: bytes, digest: bytes, key_time: int | None
    ) -> ClaimDecision:
        self._sequence += 1
        sequence = self._sequence
        future = asyncio.get_running_loop().create_future()
        self._waiting_by_sequence[sequence] = _WaitingClaim(
            self._app.now(), key_time, future
        )
        claim = Claim(scoped_key, digest, self._app.instance, sequence)
        self._app.create_task(
            self._async_send_claim(claim, future), "append claim"
        )
        is_wait_complete = False
        try:
            await asyncio.wait({future}, timeout=CLAIM_TIMEOUT_SECONDS)
            is_wait_complete = True
        finally:
            # If the claim is read back later, the reader now releases it.
            self._waiting_by_sequence.pop(sequence, None)
            if not is_wait_complete and future.done():
                self._release_granted(future.result())
        return future.result() if future.done() else ClaimUnavailable()

    async def _async_send_claim(
        self, claim: Claim, decision: asyncio.Future[ClaimDecision]
    ) -> None:
        try:
            await self._log.async_append(STREAM_CLAIMS, [encode_record(claim)])
        except LogUnavailableError:
            if not decision.done():
                decision.set_result(ClaimUnavailable())
        except LogAppendUnknownError as error:
            _LOGGER.warning("response to claim append lost", error=str(error))

    async def _async_add_page(self, page: LogPage) -> None:
        try:
            self._add_page(page)
        except RecordGapError as error:
            _LOGGER.error("gap in claim stream", error=str(error))
            self._is_current = False
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    def _add_page(self, page: LogPage) -> None:
        state = self._state
        state.window_ms = int(
            page.retention_seconds * 1000 * DEDUPLICATION_WINDOW_FRACTION
        )
        state.skip_to(page.first_retained)
        for record in page.records:
            self._apply(record)
        self._is_current = state.next_offset >= page.next_offset
        self._telemetry.gauge(METRIC_CLAIM_ENTRIES, len(state))
        self._changed.set()
        self._changed = asyncio.Event()

    def _apply(self, stored: LogRecord) -> None:
        record = decode_record(stored.data)
        if stored.offset < self._state.next_offset:
            return
        apply_claim_record(self._state, stored.offset, stored.time_ms, record)
        if isinstance(record, Claim) and record.instance == self._app.instance:
            self._decide_own_claim(stored.offset, record)

    def _decide_own_claim(self, offset: int, claim: Claim) -> None:
        """Decide a claim of this router that was read back.

        A claim that lost, or whose caller no longer waits, is released.
        """
        entry = self._state.entry_by_offset(offset)
        waiting = self._waiting_by_sequence.pop(claim.sequence, None)
        is_awaited = waiting is not None and not waiting.decision.done()
        if entry is None or not entry.has_won or not is_awaited:
            self._write_release(offset)
        if waiting is None or not is_awaited or entry is None:
            return
        if entry.has_won:
            own = OwnClaim(
                self._app.instance,
                offset,
                waiting.appended_at,
                waiting.key_time_ms,
            )
            self._unsent_by_offset[offset] = own
            send_before = waiting.appended_at + CLAIM_SEND_TIMEOUT_SECONDS
            waiting.decision.set_result(ClaimGranted(offset, send_before))
            return
        winner = self._state.entry_by_key(claim.key) or entry
        waiting.decision.set_result(
            self._decide_claimed_key(winner, claim.digest)
        )

    def _release_granted(self, decision: ClaimDecision) -> None:
        """Release a claim that was granted after its request was cancelled."""
        if not isinstance(decision, ClaimGranted):
            return
        if self._unsent_by_offset.pop(decision.claim_offset, None):
            self._write_release(decision.claim_offset)

    def _write_release(self, offset: int) -> asyncio.Task[None]:
        return self._write(
            Release(offset), lambda: self._state.entry_by_offset(offset) is None
        )

    def _write(
        self, record: ClaimRecord, is_applied: Callable[[], bool]
    ) -> asyncio.Task[None]:
        task = self._app.create_task(
            self._async_write(encode_record(record), is_applied),
            "settle claim",
        )
        self._write_tasks.add(task)
        task.add_done_callback(self._write_tasks.discard)
        return task

    async def _async_write(
        self, record: bytes, is_applied: Callable[[], bool]
    ) -> None:
        """Append a record repeatedly until its effect is read back.

        Repeats are safe because only the first of several equal releases or
        outcomes has an effect.
        """
        while not is_applied():
            try:
                await self._log.async_append(STREAM_CLAIMS, [record])
            except LogServiceError as error:
                _LOGGER.warning(
                    "outcome or release not written, retrying", error=str(error)
                )
                await asyncio.sleep(RETRY_DELAY_SECONDS)
                continue
            deadline = self._app.now() + LONG_POLL_SECONDS
            while not is_applied() and self._app.now() < deadline:
                await self._async_wait_for_page()

    async def _async_wait_for_page(self) -> None:
        try:
            await asyncio.wait_for(self._changed.wait(), LONG_POLL_SECONDS)
        except TimeoutError:
            return
