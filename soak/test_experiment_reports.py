"""Summary and page of an experiment's request records."""

from bench import experiment_reports
from soak.callers import RequestRecord


def build_record(sent_at, status=200, is_not_run=False, duration_seconds=0.1):
    return RequestRecord(
        "r",
        sent_at,
        sent_at + duration_seconds,
        "h",
        "plain",
        "/read/",
        status,
        True,
        is_not_run,
        True,
        1,
    )


def test_requests_are_counted_in_the_second_of_sending():
    records = [
        build_record(10.2),
        build_record(10.9, duration_seconds=0.3),
        build_record(11.1, 429, True),
        build_record(11.2, 0),
    ]
    first, second = experiment_reports.summarize(records, 10.0)
    assert (first.second, first.served, first.median, first.worst) == (
        0,
        2,
        300.0,
        300.0,
    )
    assert (second.served, second.refused, second.failed) == (0, 1, 1)


def test_a_page_contains_the_table_and_an_escaped_title(tmp_path):
    rows = experiment_reports.summarize([build_record(10.2)], 10.0)
    path = tmp_path / "page.html"
    experiment_reports.write_page(path, "<burst>", "four times", rows)
    page = path.read_text(encoding="utf-8")
    assert "&lt;burst&gt;" in page and "four times" in page and "served" in page
