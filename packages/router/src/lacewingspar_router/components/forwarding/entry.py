"""What a router takes and refuses before a request has a task of its own."""

from lacewingspar_core.entry_limit import EntryLimit
from lacewingspar_core.recent_declines import RecentDeclines
from lacewingspar_core.workspace_tally import WorkspaceTally
from lacewingspar_router.application import Application
from lacewingspar_router.components.forwarding import const, refusals
from lacewingspar_router.components.forwarding.models import (
    WIRE_FORMAT,
    Call,
    CallerIdentity,
)
from lacewingspar_router.components.forwarding.records import CallRecords
from lacewingspar_router.components.routing.models import ROUTING
from lacewingspar_router.components.telemetry.models import TELEMETRY
from lacewingspar_router.errors import RequestRefusedError
from lacewingspar_router.http1.messages import HttpRequest, Response


class Entry:
    """Limit of the requests under way, and declines that are known already.

    Attributes:
        limit: Limit of the requests under way.
        offered: Requests that arrived since the last report.
        refused: Requests refused for want of room here since the last report.

    Args:
        app: The application.
        records: Records of requests.
    """

    def __init__(self, app: Application, records: CallRecords) -> None:
        assert app.settings.platform is not None
        self.limit = EntryLimit(app.settings.platform.capacity)
        self.offered = WorkspaceTally()
        self.refused = WorkspaceTally()
        self._app = app
        self._records = records
        self._routing = app.get(ROUTING)
        self._wire = app.get(WIRE_FORMAT)
        self._telemetry = app.get(TELEMETRY)
        self._declines = RecentDeclines(app.random.uniform)

    def screen(self, request: HttpRequest) -> Response | None:
        """Return the refusal of a request that this router cannot serve.

        A router without room gets many such requests, so they are refused
        before all of their fields are read.
        """
        configuration = self._routing.configuration
        may_refuse = self.limit.is_full or not self._declines.is_empty(
            self._app.now()
        )
        if not may_refuse or configuration is None:
            return None
        identity = self._wire.read_identity(request)
        workspace = configuration.workspace_by_key.get(identity.key)
        if workspace is None:
            return None
        error = self._known_refusal(request, identity, workspace)
        if error is None:
            return None
        self.offered.add(workspace)
        self._records.note_refusal(error, identity.request_id, workspace, None)
        return self._wire.refusal(error, identity.request_id)

    def begin(self, workspace: str) -> None:
        """Count a request as under way, until `limit.end`.

        Raises:
            RequestRefusedError: There is no room for it.
        """
        self.offered.add(workspace)
        if not self.limit.begin(workspace):
            raise self._overloaded(workspace)

    def note_decline(
        self, call: Call, code: str, retry_after_seconds: float
    ) -> None:
        """Take over that a request was refused.

        Args:
            call: The request.
            code: Code of the refusal.
            retry_after_seconds: When its caller may come back.
        """
        if code == refusals.OVERLOADED:
            self._declines.note(
                call.workspace,
                call.route.name,
                retry_after_seconds,
                self._app.now(),
            )

    def _known_refusal(
        self, request: HttpRequest, identity: CallerIdentity, workspace: str
    ) -> RequestRefusedError | None:
        """Return why a request would be refused, without asking its pool."""
        if not self.limit.has_room(workspace):
            return self._overloaded(workspace)
        seconds = self._retry_after(request, identity, workspace)
        if seconds is None:
            return None
        self._telemetry.count("recently_declined_total")
        return refusals.recently_declined(seconds)

    def _retry_after(
        self, request: HttpRequest, identity: CallerIdentity, workspace: str
    ) -> float | None:
        """Return when to come back if the pool has just declined the like."""
        route = self._routing.table.match(identity.host, request.path)
        if route is None:
            return None
        left = route.timeout_seconds
        if identity.time_left_seconds is not None:
            left = min(left, identity.time_left_seconds)
        return self._declines.retry_after(
            workspace, route.name, left, self._app.now()
        )

    def _overloaded(self, workspace: str) -> RequestRefusedError:
        self._telemetry.count("entry_refusals_total")
        self.refused.add(workspace)
        spread = self._app.random.uniform(1.0, 2.0)
        return refusals.router_overloaded(
            const.OVERLOADED_RETRY_SECONDS * spread
        )
