"""Choice of the workspace that gets the next free slot."""

from collections.abc import Iterable, Set
from dataclasses import dataclass

from lacewingspar_core.costs import CostTable
from lacewingspar_core.demand import DemandKey
from lacewingspar_core.identity import RouterLife
from lacewingspar_core.ledger import ServiceLedger

# A backlogged workspace that was granted nothing for this many times its equal
# share's interval goes first, whatever its score is. It keeps an eighth of an
# equal share while it repays the debt of a long partition. A rule that counts
# grants would favour workspaces with expensive requests, so it counts time.
STARVATION_FACTOR = 8.0
# A workspace without waiting requests for less than this stays backlogged.
BACKLOG_GRACE_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class Candidate:
    """Demand that a free slot could serve.

    Attributes:
        key: The demand.
        owner: Owner in another data centre that reports the demand, or None
            if holders of the own data centre do.
    """

    key: DemandKey
    owner: RouterLife | None = None


class WorkspaceSelector:
    """Chooses the next workspace by score.

    Args:
        ledger: Scores of the workspaces.
        costs: Measured costs of their requests.
        uses_echo_factor: Whether own grants that the other owners have not
            heard of count once for each of them.
    """

    def __init__(
        self,
        ledger: ServiceLedger,
        costs: CostTable,
        *,
        uses_echo_factor: bool = True,
    ) -> None:
        self._ledger = ledger
        self._costs = costs
        self._uses_echo_factor = uses_echo_factor
        self._virtual_time = 0.0
        self._granted_at_by_workspace: dict[str, float] = {}
        self._backlogged: set[str] = set()
        self._left_at_by_workspace: dict[str, float] = {}

    def note_backlogged(self, workspaces: Set[str], now: float) -> None:
        """Record which workspaces have waiting requests anywhere.

        A workspace that was not among them for longer than the grace time is
        raised to the score at which slots are granted now, so that it has no
        credit from its idle time.

        Args:
            workspaces: All workspaces with waiting requests.
            now: Time in seconds.
        """
        for workspace in self._backlogged - workspaces:
            self._left_at_by_workspace[workspace] = now
        for workspace in sorted(workspaces - self._backlogged):
            left_at = self._left_at_by_workspace.pop(workspace, None)
            if left_at is None or now - left_at > BACKLOG_GRACE_SECONDS:
                self._ledger.raise_to(workspace, self._virtual_time)
                self._granted_at_by_workspace[workspace] = now
        self._backlogged = set(workspaces)

    def note_continued(self, workspaces: Iterable[str], now: float) -> None:
        """Record workspaces that were backlogged while out of sight.

        They keep their scores, so that the debt of a partition is repaid.
        """
        for workspace in workspaces:
            if workspace not in self._backlogged:
                self._left_at_by_workspace[workspace] = now

    def choose(
        self,
        candidates: list[Candidate],
        *,
        slots: int,
        now: float,
    ) -> Candidate | None:
        """Return the demand that gets the next slot, or None without any.

        Args:
            candidates: Demand that the slot could serve.
            slots: Number of slots that this owner hands out.
            now: Time in seconds.
        """
        if not candidates:
            return None
        chosen = self._most_starved(candidates, slots, now)
        if chosen is None:
            chosen = self._lowest_score(candidates, now)
        self._granted_at_by_workspace[chosen.key.workspace] = now
        return chosen

    def _most_starved(
        self, candidates: list[Candidate], slots: int, now: float
    ) -> Candidate | None:
        """Return the demand that has starved longest, or None without any."""
        backlogged = len({candidate.key.workspace for candidate in candidates})
        worst: Candidate | None = None
        worst_excess = 0.0
        for candidate in candidates:
            workspace = candidate.key.workspace
            cost = self._costs.mean_seconds(workspace)
            limit = STARVATION_FACTOR * cost * backlogged / slots
            waited = now - self._granted_at_by_workspace.get(workspace, now)
            if waited - limit > worst_excess:
                worst, worst_excess = candidate, waited - limit
        return worst

    def _lowest_score(
        self, candidates: list[Candidate], now: float
    ) -> Candidate:
        ledger = self._ledger
        echo_factor = ledger.echo_factor(now) if self._uses_echo_factor else 1.0
        remote_penalty_seconds = self._costs.overall_seconds
        best: Candidate | None = None
        best_rank = (0.0, 0)
        for candidate in candidates:
            workspace = candidate.key.workspace
            score = ledger.score(workspace, echo_factor)
            if candidate.owner is not None:
                score += remote_penalty_seconds
            rank = (score, ledger.tie_order(workspace))
            if best is None or rank < best_rank:
                best, best_rank = candidate, rank
        assert best is not None
        self._virtual_time = ledger.score(best.key.workspace, 1.0)
        return best
