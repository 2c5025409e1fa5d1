"""Messages of an ingress router to pool owners, of which it may be one."""

from lacewingspar_core.admission_events import (
    Admission,
    AdmissionKey,
    RunOutcome,
)
from lacewingspar_core.admission_messages import (
    ReportedRun,
    RunEnded,
    RunReport,
    RunStarted,
    UpstreamLoadReport,
)
from lacewingspar_core.pools import Pool
from lacewingspar_router.application import Application
from lacewingspar_router.components.admission.messages import encode_request
from lacewingspar_router.components.admission.owner import OwnedPools
from lacewingspar_router.components.peers.models import PEERS


class PoolOwners:
    """Reaches the owner of a pool, in this process or through a message.

    Args:
        app: The application.
        owned_pools: Pools of which this router is the owner.
    """

    def __init__(self, app: Application, owned_pools: OwnedPools) -> None:
        self._app = app
        self._own_id = app.instance.router_id
        self._owned_pools = owned_pools
        self._peers = app.get(PEERS)

    def submit(
        self,
        owner: str,
        pool: Pool,
        admission: Admission,
        leaving_share: float,
    ) -> None:
        """Ask an owner for an upstream.

        Args:
            owner: ID of the owner.
            pool: Pool of the request.
            admission: The request.
            leaving_share: Share of this router's requests that leave its data
                centre.
        """
        if owner == self._own_id:
            self._owned_pools.submit(pool, admission, leaving_share)
            return
        now = self._app.now()
        self._peers.send(
            owner, encode_request(pool, admission, leaving_share, now)
        )

    def record_first_chunk(
        self,
        owner: str,
        pool: Pool,
        key: AdmissionKey,
        load: UpstreamLoadReport | None = None,
    ) -> None:
        """Report the first chunk of a response.

        Args:
            owner: ID of the owner.
            pool: Pool of the request.
            key: Key of the admission request.
            load: Load that the upstream has reported, or None.
        """
        if owner == self._own_id:
            self._owned_pools.record_first_chunk(pool, key, load)
            return
        self._peers.send(
            owner,
            RunStarted(
                pool.service, pool.data_centre, pool.shard, key.number, load
            ),
        )

    def end(
        self,
        owner: str,
        pool: Pool,
        key: AdmissionKey,
        outcome: RunOutcome,
        unreachable: str = "",
        load: UpstreamLoadReport | None = None,
    ) -> None:
        """Report the end of a run, or withdraw a request.

        Args:
            owner: ID of the owner.
            pool: Pool of the request.
            key: Key of the admission request.
            outcome: How the run ended.
            unreachable: Upstream that accepted no connection, or "".
            load: Load that the upstream has reported, or None.
        """
        if owner == self._own_id:
            self._owned_pools.end(pool, key, outcome, unreachable, load)
            return
        self._peers.send(
            owner,
            RunEnded(
                pool.service,
                pool.data_centre,
                pool.shard,
                key.number,
                outcome,
                unreachable,
                load,
            ),
        )

    def report(
        self, owner: str, pool: Pool, runs: tuple[ReportedRun, ...]
    ) -> None:
        """Report all runs of this router in a pool."""
        report = RunReport(pool.service, pool.data_centre, pool.shard, runs)
        if owner == self._own_id:
            self._owned_pools.reconcile(self._app.instance, report)
            return
        self._peers.send(owner, report)
