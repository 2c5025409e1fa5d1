"""The example documents."""

from pathlib import Path

import pytest

from lacewingspar_core.documents import ServiceKind, parse_document

EXAMPLES = Path(__file__).parents[2] / "examples"


@pytest.mark.parametrize(
    ("service", "kind", "upstreams"),
    [
        ("language-models", ServiceKind.MODEL, 6),
        ("plant-application", ServiceKind.PLAIN, 4),
    ],
)
def test_example_is_valid(
    service: str, kind: ServiceKind, upstreams: int
) -> None:
    """Guards against examples that the current schema refuses."""
    text = (EXAMPLES / f"{service}.json").read_text("utf-8")
    document = parse_document(text).unwrap()
    assert (document.service, document.kind) == (service, kind)
    assert len(document.upstreams) == upstreams
    assert len({item.data_centre for item in document.upstreams}) == 4


def test_examples_have_the_classes_of_deployment_b() -> None:
    names = {
        item.name
        for path in EXAMPLES.glob("*.json")
        for item in parse_document(path.read_text("utf-8"))
        .unwrap()
        .request_classes
    }
    expected = {"batch-reviews", "chat", "label-checks", "stock-lookups"}
    assert names == expected
