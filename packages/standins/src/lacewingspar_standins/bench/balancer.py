"""Baseline: a plain balancer without any fairness or order of its own."""

from typing import Any

from lacewingspar_standins.bench.bare_proxy import BareProxy


class LeastLoadedBalancer:
    """Passes each request on at once to the least loaded target.

    It counts only its own requests, as a balancer without shared state does.
    What exceeds a target's slots waits at the target, first come first
    served.

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
        """Pass a request on and its answer back."""
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
