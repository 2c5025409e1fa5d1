"""Baseline load balancer without fair queueing."""

from typing import Any

from lacewingspar_standins.bench.bare_proxy import BareProxy


class LeastLoadedBalancer:
    """Forwards each request to the target with the fewest requests.

    It counts only the requests that it forwards itself, because it shares no
    state with other balancers. Requests beyond a target's slots queue at the
    target in FIFO order.

    Args:
        targets_by_prefix: Base URLs of the targets by path prefix.
    """

    def __init__(self, targets_by_prefix: dict[str, list[str]]) -> None:
        self._proxies_by_prefix = {
            prefix: [BareProxy(target) for target in targets]
            for prefix, targets in targets_by_prefix.items()
        }
        self._in_flight: dict[BareProxy, int] = {
            proxy: 0
            for proxies in self._proxies_by_prefix.values()
            for proxy in proxies
        }

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Forward a request and its response."""
        if scope["type"] != "http":
            return
        proxies = self._proxies(scope["path"])
        if not proxies:
            await _reply_not_found(send)
            return
        proxy = min(proxies, key=self._in_flight.__getitem__)
        self._in_flight[proxy] += 1
        try:
            await proxy.handle(scope, receive, send)
        finally:
            self._in_flight[proxy] -= 1

    def _proxies(self, path: str) -> list[BareProxy]:
        for prefix, proxies in self._proxies_by_prefix.items():
            if path.startswith(prefix):
                return proxies
        return []


async def _reply_not_found(send: Any) -> None:
    await send({"type": "http.response.start", "status": 404, "headers": []})
    await send({"type": "http.response.body", "body": b""})
