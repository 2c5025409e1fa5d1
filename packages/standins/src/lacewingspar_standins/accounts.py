"""Slot time by workspace, as measured by an upstream stand-in."""


class SlotAccounts:
    """Slot time by account, in slot-seconds.

    The account of a request is the part of its marker before the first dot,
    which the load generator sets to the name of the workspace. The upstream
    measures the time itself, independently of the accounting of the routers.
    """

    def __init__(self) -> None:
        self._seconds_by_account: dict[str, float] = {}

    def add(self, account: str, seconds: float) -> None:
        """Add slot time to an account."""
        previous = self._seconds_by_account.get(account, 0.0)
        self._seconds_by_account[account] = previous + seconds

    def as_json(self) -> dict[str, dict[str, float]]:
        """Return the response body of `GET /accounts`."""
        return {"seconds_by_account": dict(self._seconds_by_account)}


def account_of(marker: str) -> str:
    """Return the account named by a request's marker."""
    return marker.partition(".")[0]
