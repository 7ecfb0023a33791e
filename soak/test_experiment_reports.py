"""What callers saw in an experiment, by second."""

from bench import experiment_reports
from soak.callers import Sent


def sent(at, status=200, is_not_run=False, seconds=0.1):
    return Sent(
        "r", at, at + seconds, "h", "plain", "/read/", status, True, is_not_run, True, 1
    )


def test_requests_are_counted_in_the_second_they_were_sent():
    records = [
        sent(10.2),
        sent(10.9, seconds=0.3),
        sent(11.1, 429, True),
        sent(11.2, 0),
    ]
    first, second = experiment_reports.summarize(records, 10.0)
    assert (first.second, first.served, first.median, first.worst) == (
        0,
        2,
        300.0,
        300.0,
    )
    assert (second.served, second.refused, second.failed) == (0, 1, 1)


def test_a_page_holds_the_table_and_escapes_its_title(tmp_path):
    rows = experiment_reports.summarize([sent(10.2)], 10.0)
    path = tmp_path / "page.html"
    experiment_reports.write_page(path, "<burst>", "four times", rows)
    page = path.read_text(encoding="utf-8")
    assert "&lt;burst&gt;" in page and "four times" in page and "served" in page
