"""Selection of the workspace that receives the next free slot."""

from collections.abc import Iterable, Set
from dataclasses import dataclass

from lacewingspar_core.costs import CostTable
from lacewingspar_core.demand import DemandKey
from lacewingspar_core.identity import RouterInstance
from lacewingspar_core.ledger import ServiceLedger

# A backlogged workspace without a grant for this many grant intervals of an
# equal share goes first, whatever its score is. It thus keeps an eighth of an
# equal share even with a high score after a long partition. The limit is a time
# because a limit in grants would favour workspaces with expensive requests.
STARVATION_INTERVALS = 8.0
# A workspace stays backlogged if its queue is empty for at most this long.
BACKLOG_GRACE_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class Candidate:
    """Demand that a free slot can serve.

    Attributes:
        key: Key of the demand.
        owner: Slot owner in another data centre that reported the demand, or
            None if the requests wait in this data centre.
    """

    key: DemandKey
    owner: RouterInstance | None = None


class WorkspaceSelector:
    """Selects the starved or else the lowest-scored workspace.

    Args:
        ledger: Scores of the workspaces.
        costs: Measured request costs of the workspaces.
        weights_unpublished_grants: Whether to multiply this router's
            unpublished grants by the fleet's slots divided by its own, since
            the other slot owners are likely to make the same choice.
    """

    def __init__(
        self,
        ledger: ServiceLedger,
        costs: CostTable,
        *,
        weights_unpublished_grants: bool = True,
    ) -> None:
        self._ledger = ledger
        self._costs = costs
        self._weights_unpublished_grants = weights_unpublished_grants
        self._last_entry_score = 0.0
        self._granted_at_by_workspace: dict[str, float] = {}
        self._backlogged: set[str] = set()
        self._idle_since_by_workspace: dict[str, float] = {}

    def set_backlogged(self, workspaces: Set[str], now: float) -> None:
        """Update the set of workspaces with waiting requests.

        The score of a workspace that returns after more than the grace time is
        raised to the median served score of the others, so that idle time
        earns no credit. The median excludes pending slot time, because a wrong
        estimate would stay in the score forever.

        Args:
            workspaces: All workspaces with waiting requests, in any data
                centre.
            now: Time in seconds.
        """
        for workspace in self._backlogged - workspaces:
            self._idle_since_by_workspace[workspace] = now
        entry_score = self._entry_score(self._backlogged & workspaces)
        for workspace in sorted(workspaces - self._backlogged):
            idle_since = self._idle_since_by_workspace.pop(workspace, None)
            if idle_since is None or now - idle_since > BACKLOG_GRACE_SECONDS:
                self._ledger.raise_score_to(workspace, entry_score)
                self._granted_at_by_workspace[workspace] = now
        self._backlogged = set(workspaces)

    def mark_still_backlogged(
        self, workspaces: Iterable[str], now: float
    ) -> None:
        """Treat workspaces as backlogged throughout a network partition.

        They keep their scores, so that service received during the partition
        still counts against them.
        """
        for workspace in workspaces:
            if workspace not in self._backlogged:
                self._idle_since_by_workspace[workspace] = now

    def choose(
        self,
        candidates: list[Candidate],
        *,
        slots: int,
        now: float,
    ) -> Candidate | None:
        """Select the demand that receives the next slot.

        Args:
            candidates: Demand that the slot can serve.
            slots: Number of slots that this owner allocates.
            now: Time in seconds.

        Returns:
            The selected candidate, or None without candidates.
        """
        if not candidates:
            return None
        chosen = self._most_starved(candidates, slots, now)
        if chosen is None:
            chosen = self._lowest_score(candidates, now)
        self._granted_at_by_workspace[chosen.key.workspace] = now
        return chosen

    def _entry_score(self, workspaces: Set[str]) -> float:
        """Return the score of a workspace that becomes backlogged.

        This is the median served score of `workspaces`, or the previous result
        if there are none.
        """
        if workspaces:
            scores = sorted(
                self._ledger.served_score(workspace) for workspace in workspaces
            )
            self._last_entry_score = scores[(len(scores) - 1) // 2]
        return self._last_entry_score

    def _most_starved(
        self, candidates: list[Candidate], slots: int, now: float
    ) -> Candidate | None:
        """Return the candidate furthest beyond its starvation limit, if any."""
        backlogged = len({candidate.key.workspace for candidate in candidates})
        worst: Candidate | None = None
        worst_excess = 0.0
        for candidate in candidates:
            workspace = candidate.key.workspace
            cost = self._costs.mean_seconds(workspace)
            limit = STARVATION_INTERVALS * cost * backlogged / slots
            waited = now - self._granted_at_by_workspace.get(workspace, now)
            if waited - limit > worst_excess:
                worst, worst_excess = candidate, waited - limit
        return worst

    def _lowest_score(
        self, candidates: list[Candidate], now: float
    ) -> Candidate:
        ledger = self._ledger
        unpublished_weight = (
            ledger.fleet_slot_ratio(now)
            if self._weights_unpublished_grants
            else 1.0
        )
        remote_penalty_seconds = self._costs.overall_seconds
        best: Candidate | None = None
        best_rank = (0.0, 0)
        for candidate in candidates:
            workspace = candidate.key.workspace
            score = ledger.score(workspace, unpublished_weight)
            if candidate.owner is not None:
                score += remote_penalty_seconds
            rank = (score, ledger.tie_break_rank(workspace))
            if best is None or rank < best_rank:
                best, best_rank = candidate, rank
        assert best is not None
        return best
