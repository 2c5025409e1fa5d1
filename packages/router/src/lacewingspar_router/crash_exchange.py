"""Exchange of crash records with the other routers."""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Iterable

import structlog

from lacewingspar_core.crash_evidence import Convicted, Verdict
from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.messages import Quarantine
from lacewingspar_core.ownership import shard_owner
from lacewingspar_core.prompt_quarantine import (
    PartQuarantined,
    PartRefusal,
    PartReleased,
)
from lacewingspar_core.prompt_suspects import Prompt, PromptRun
from lacewingspar_core.quarantine import QuarantineState
from lacewingspar_router.application import Application
from lacewingspar_router.components.peers.models import PEERS, ReceivedMessage
from lacewingspar_router.components.telemetry.models import TELEMETRY

# Changes that only clear suspects are collected for this long. After the crash
# of an engine each of its requests clears itself when it has run elsewhere.
CLEARING_DELAY_SECONDS = 0.5
# A run that has been in flight for this long without output has probably begun.
LONG_RUN_SECONDS = 1.0
# Proofs of prompt parts are few, and a router without them may refuse a part.
PROOF_DELAY_SECONDS = 0.05
# Requests whose last verdict is kept, so that it is logged once.
MAXIMUM_LOGGED_VERDICTS = 256

METRIC_RECORDS = "quarantine_records_received_total"
METRIC_PARTS = "quarantined_prompt_parts_total"

_LOGGER = structlog.get_logger(__name__)


class CrashExchange:
    """Sends changed crash records to all routers, and all to new ones.

    Args:
        app: The application.
    """

    def __init__(self, app: Application) -> None:
        self._app = app
        self._peers = app.get(PEERS)
        self._telemetry = app.get(TELEMETRY)
        self._state_by_service: dict[str, QuarantineState] = {}
        self._known_instances: set[RouterInstance] = set()
        self._timer_by_service: dict[str, asyncio.TimerHandle] = {}
        self._logged_verdict_by_fingerprint: OrderedDict[str, Verdict] = (
            OrderedDict()
        )
        self._listeners: list[Callable[[], None]] = []
        self._peers.subscribe(Quarantine, self._receive)
        self._peers.add_listener(self._send_to_new_routers)

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call a function after merging records of another router."""
        self._listeners.append(listener)

    def find_state(self, service: str) -> QuarantineState | None:
        """Return the records of a service, or None before its first crash.

        Requests of services without a crash skip the checks.
        """
        state = self._state_by_service.get(service)
        return state if state is not None and state.has_crashes else None

    def state(self, service: str) -> QuarantineState:
        """Return the records of a service, which are created if missing."""
        state = self._state_by_service.get(service)
        if state is None:
            state = self._state_by_service[service] = QuarantineState(service)
        return state

    def record_success(
        self, service: str, fingerprint: str, prompt: Prompt | None
    ) -> QuarantineState:
        """Record a completed request, which counts in its favour.

        Args:
            service: Name of the service.
            fingerprint: Fingerprint of the request.
            prompt: Its prompt, if the response proves that as well.

        Returns:
            The records of the service.
        """
        state = self.state(service)
        state.record_success(fingerprint, self._app.now(), prompt)
        return state

    def refusal_seconds(
        self,
        service: str,
        fingerprint: str,
        prompt: Prompt,
        runs: Callable[[], Iterable[tuple[str, PromptRun]]],
    ) -> float:
        """Return the time for which a whole request must not be sent, or 0.

        Before it is refused, its runs under way may clear it.

        Args:
            service: Name of the service.
            fingerprint: Fingerprint of the request.
            prompt: Its prompt.
            runs: Returns this router's runs of the fingerprint that are in
                flight, with the IDs of their upstreams.
        """
        state = self.find_state(service)
        now = self._app.now()
        if (
            state is None
            or state.verdict(fingerprint, now, prompt.parts) is None
        ):
            return 0.0
        in_flight = list(runs())
        if any(run.begun_at(now) is not None for _, run in in_flight):
            state.record_success(fingerprint, now)
            self.publish_soon(state)
        upstreams_elsewhere = len(
            {
                upstream_id
                for upstream_id, run in in_flight
                if now - run.sent_at >= LONG_RUN_SECONDS
            }
        )
        verdict = state.verdict(
            fingerprint,
            now,
            prompt.parts,
            upstreams_elsewhere=upstreams_elsewhere,
        )
        self._log_verdict(state, fingerprint, verdict)
        return state.seconds_until_sent(
            verdict, fingerprint, prompt, now, lambda: self._may_probe(service)
        )

    def find_refusal(
        self,
        service: str,
        prompt: Prompt,
        runs: Callable[[], Iterable[PromptRun]],
    ) -> PartRefusal | None:
        """Return why a prompt must not be sent to a service, or None.

        Before a prompt is refused, the responses under way may prove its parts.

        Args:
            service: Name of the service.
            prompt: The prompt.
            runs: Returns the requests that this router has sent to the service.
        """
        state = self.find_state(service)
        if state is None or not self._refusal(state, prompt):
            return None
        state.prompts.record_begun(runs(), self._app.now())
        if state.prompts.has_changed:
            self.publish_soon(state)
        return self._refusal(state, prompt)

    def quarantined_parts(self) -> dict[str, list[PartQuarantined]]:
        """Return the prompt parts in quarantine by service."""
        return {
            service: parts
            for service, state in self._state_by_service.items()
            if (parts := state.prompts.quarantined())
        }

    def release_part(self, service: str, part: str) -> bool:
        """End the quarantine of a prompt part on all routers.

        Returns:
            Whether the part was in quarantine.
        """
        state = self._state_by_service.get(service)
        if state is None or not state.prompts.release(part, self._app.now()):
            return False
        self.publish(state)
        return True

    def report(self, state: QuarantineState) -> None:
        """Log and count the prompt parts that were quarantined or released."""
        for event in state.prompts.take_events():
            match event:
                case PartQuarantined():
                    _LOGGER.warning(
                        "prompt part quarantined",
                        service=state.service,
                        part=event.part,
                        together_with=event.together_with,
                        crashed=event.upstream_ids,
                        workspaces=event.workspaces,
                        probe_after_seconds=event.seconds,
                    )
                    outcome = "quarantined"
                case PartReleased(part):
                    _LOGGER.warning(
                        "prompt part released", service=state.service, part=part
                    )
                    outcome = "released"
            self._telemetry.count(
                METRIC_PARTS, service=state.service, outcome=outcome
            )

    def publish(self, state: QuarantineState) -> None:
        """Send the changed records of a service to all routers."""
        self.report(state)
        message = state.publish(self._app.now())
        if message is None:
            return
        for router_id in self._peers.alive_by_router_id:
            if router_id != self._app.instance.router_id:
                self._peers.send(router_id, message)

    def publish_soon(self, state: QuarantineState) -> None:
        """Send the changed records after a short delay.

        All changes until then go out in one message to each router.
        """
        self.report(state)
        delay = CLEARING_DELAY_SECONDS
        if state.prompts.has_changed:
            delay = PROOF_DELAY_SECONDS
        loop = asyncio.get_running_loop()
        due_at = loop.time() + delay
        timer = self._timer_by_service.get(state.service)
        if timer is not None:
            if timer.when() <= due_at:
                return
            timer.cancel()
        self._timer_by_service[state.service] = loop.call_at(
            due_at, self._publish_scheduled, state
        )

    def _publish_scheduled(self, state: QuarantineState) -> None:
        del self._timer_by_service[state.service]
        self.publish(state)

    def _receive(self, received: ReceivedMessage) -> None:
        message = received.message
        assert isinstance(message, Quarantine)
        state = self.state(message.service)
        state.merge(message, self._app.now())
        self.report(state)
        if state.has_changed:
            self.publish_soon(state)
        self._telemetry.count(
            METRIC_RECORDS, len(message.crashes) + len(message.parts)
        )
        for listener in self._listeners:
            listener()

    def _log_verdict(
        self,
        state: QuarantineState,
        fingerprint: str,
        verdict: Verdict | None,
    ) -> None:
        """Log a new verdict on a request with the crashes that led to it."""
        logged = self._logged_verdict_by_fingerprint
        if verdict is None or logged.get(fingerprint) == verdict:
            return
        logged[fingerprint] = verdict
        logged.move_to_end(fingerprint)
        if len(logged) > MAXIMUM_LOGGED_VERDICTS:
            logged.popitem(last=False)
        now = self._app.now()
        _LOGGER.warning(
            "request quarantined"
            if isinstance(verdict, Convicted)
            else "request suspected of crashes",
            service=state.service,
            fingerprint=fingerprint,
            crashed=state.crashed_upstreams(fingerprint, now),
            retry_after_seconds=round(max(0.0, verdict.until - now), 3),
        )

    def _refusal(
        self, state: QuarantineState, prompt: Prompt
    ) -> PartRefusal | None:
        return state.prompts.refusal(
            prompt, self._app.now(), lambda: self._may_probe(state.service)
        )

    def _may_probe(self, service: str) -> bool:
        """Return whether this router sends the probes of a service."""
        serving = [
            router_id
            for router_id, record in self._peers.alive_by_router_id.items()
            if record.state.is_serving
        ]
        owner = shard_owner(f"probes/{service}", 0, serving)
        return owner == self._app.instance.router_id

    def _send_to_new_routers(self) -> None:
        """Send all records to routers that have become alive."""
        instances = {
            record.life for record in self._peers.alive_by_router_id.values()
        }
        new = instances - self._known_instances - {self._app.instance}
        self._known_instances = instances
        for state in self._state_by_service.values() if new else ():
            message = state.publish(self._app.now(), full=True)
            if message is None or not (message.crashes or message.parts):
                continue
            for instance in new:
                self._peers.send(instance.router_id, message)
