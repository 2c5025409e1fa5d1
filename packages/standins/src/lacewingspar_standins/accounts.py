"""Slot time by workspace, as the upstream itself measures it."""


class SlotAccounts:
    """Slot time by account, in slot-seconds.

    The account of a request is the part of its marker before the first dot,
    which the load generator sets to the name of the workspace. The figures do
    not depend on what the routers believe.
    """

    def __init__(self) -> None:
        self._seconds_by_account: dict[str, float] = {}

    def add(self, account: str, seconds: float) -> None:
        """Add slot time to an account."""
        known = self._seconds_by_account.get(account, 0.0)
        self._seconds_by_account[account] = known + seconds

    def as_json(self) -> dict[str, dict[str, float]]:
        """Return the answer to `GET /accounts`."""
        return {"seconds_by_account": dict(self._seconds_by_account)}


def account_of(marker: str) -> str:
    """Return the account of a request with a marker."""
    return marker.partition(".")[0]
