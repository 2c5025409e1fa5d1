"""Counters, gauges and histograms of the metrics page."""

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

_Labels = tuple[tuple[str, str], ...]
_PREFIX = "lacewingspar_"
# Upper bounds, from the duration of a call to a plain service to that of a long
# stream.
_BUCKETS_SECONDS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.6,
    3.2,
    6.4,
    12.8,
    float("inf"),
)


class Metrics:
    """Values of counters, gauges and histograms.

    Counters and gauges are kept in plain dictionaries and passed to the metrics
    library when the page is rendered, because the collectors of the library
    encode the labels as JSON at each change.
    """

    def __init__(self) -> None:
        self._counts_by_name: dict[str, dict[_Labels, float]] = {}
        self._gauges_by_name: dict[str, dict[_Labels, float]] = {}
        self._histogram_by_name: dict[str, Histogram] = {}

    def count(self, name: str, amount: float, labels: dict[str, str]) -> None:
        """Add to a counter."""
        values = self._counts_by_name.setdefault(name, {})
        key = tuple(sorted(labels.items()))
        values[key] = values.get(key, 0) + amount

    def gauge(self, name: str, value: float, labels: dict[str, str]) -> None:
        """Set a gauge."""
        key = tuple(sorted(labels.items()))
        self._gauges_by_name.setdefault(name, {})[key] = value

    def observe(self, name: str, value: float, labels: dict[str, str]) -> None:
        """Add a value to a histogram."""
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            histogram = Histogram(
                _PREFIX + name,
                name,
                registry=Registry(),
                buckets=_BUCKETS_SECONDS,
            )
            self._histogram_by_name[name] = histogram
        histogram.observe(labels, value)

    def render(self) -> tuple[str, bytes]:
        """Return the content type and the body of the metrics page."""
        registry = Registry()
        for name, values in self._counts_by_name.items():
            counter = Counter(_PREFIX + name, name, registry=registry)
            for labels, value in values.items():
                counter.set(dict(labels), value)
        for name, values in self._gauges_by_name.items():
            gauge = Gauge(_PREFIX + name, name, registry=registry)
            for labels, value in values.items():
                gauge.set(dict(labels), value)
        for histogram in self._histogram_by_name.values():
            registry.register(histogram)
        body, headers = render(registry, ["text/plain"])
        return headers["Content-Type"], body
