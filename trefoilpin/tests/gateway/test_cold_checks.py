"""Whether it is known that upstreams are warm, and which ones are asked for it."""

import pytest
from returns.result import Failure, Success

from trefoilpin import events
from trefoilpin.fakes.gateway_fleets import Fleet, FleetSettings, StoreContent
from trefoilpin.fakes.gateways import (
    configuration,
    create_document_cache,
    create_host,
    named,
    table,
    upstream,
)
from trefoilpin.gateway.balancing import cold_checks, upstreams
from trefoilpin.gateway.balancing.cold_checks import MAX_WARMTH_AGE_SECONDS, ColdReport
from trefoilpin.gateway.balancing.upstream_selection import RetryPolicy
from trefoilpin.gateway.fleet import cold_report_codecs
from trefoilpin.gateway.fleet.store_absences import MAX_AGE_DIFFERENCE_SECONDS
from trefoilpin.gateway.store.document_cache import (
    CONFIGURATION,
    UPSTREAMS,
    ZONES_OUT,
)
from trefoilpin.messages import Attempt
from trefoilpin.thrift_gen.bulletins.ttypes import ColdReportStruct
from trefoilpin.verdicts import Reason, Verdict

SINGLE_ATTEMPT = RetryPolicy(False, False)
UNREACHED = Attempt(Verdict.NOT_RUN, None, Reason.UPSTREAM_UNREACHABLE, "", 0.3)
WARM = Success(0.0)


class Host:
    """A host of zone a, the time, and what it is told of the store."""

    def __init__(self, *entries, is_sender=True):
        self.kernel, self.clock, self.lines = create_host()
        self.is_store_away = False
        _, self.put = create_document_cache(self.kernel)
        self.checks = cold_checks.create(
            self.kernel, "a", lambda: self.is_store_away, lambda: is_sender
        )
        self.upstreams = upstreams.create(
            self.kernel, "a", lambda: 1, cold_checks=self.checks
        )
        self.put(CONFIGURATION, 1, with_health_path(configuration()))
        self.entries = table(*entries)
        self.put(UPSTREAMS, 1, self.entries)

    def choose(self):
        return self.upstreams.choose("p", frozenset(), SINGLE_ATTEMPT, 0.1)

    def is_served(self):
        outcome = self.choose()
        if isinstance(outcome, Success):
            self.upstreams.release(outcome.unwrap(), None, 0.1)
        return isinstance(outcome, Success)

    def grow_old(self):
        """Let the document of upstreams become too old."""
        self.clock.time += MAX_WARMTH_AGE_SECONDS + 0.1

    def ask(self, outcome):
        """Ask the upstreams that are due; return the ids of those asked."""
        asked = []
        for check in self.checks.take_due():
            self.checks.record(check, self.clock.time, outcome)
            asked.append(check.upstream.id)
        return asked


def with_health_path(value):
    pool = value.pool_by_id["p"]._replace(health_path="/healthz")
    return value._replace(pool_by_id={"p": pool})


def test_upstream_gets_requests_while_the_document_is_recent():
    host = Host(upstream(1))
    host.clock.time += MAX_WARMTH_AGE_SECONDS
    assert host.is_served()
    assert host.ask(WARM) == ["u1"]
    assert not named(host.lines, events.WARMTH_UNKNOWN)


def test_upstream_is_held_back_until_it_says_that_it_is_warm():
    host = Host(upstream(1))
    host.grow_old()
    assert not host.is_served()
    assert host.ask(WARM) == ["u1"]
    assert host.is_served()
    host.grow_old()
    assert not host.is_served()
    assert len(named(host.lines, events.WARMTH_UNKNOWN)) == 2
    assert len(named(host.lines, events.WARMTH_KNOWN)) == 1


def test_upstream_is_used_again_once_the_document_is_recent():
    host = Host(upstream(1))
    host.clock.time += 60.0
    assert not host.is_served()
    host.put(UPSTREAMS, 2, host.entries)
    assert host.is_served()


def test_upstream_that_says_that_it_is_cold_is_cold_for_that_time():
    host = Host(upstream(1, slots=1000))
    host.grow_old()
    host.is_served()
    host.ask(Success(3.0))
    health = host.upstreams.pool_health("p")[0]
    assert health.cold_until == pytest.approx(host.clock.time + 3.0)
    # One token of its rate is left to this host.
    assert [host.is_served() for _ in range(5)].count(True) <= 1
    host.clock.time += 3.1
    assert not host.is_served()
    assert host.ask(WARM) == ["u1"]
    assert host.is_served()


def test_failed_question_tells_nothing():
    host = Host(upstream(1))
    host.grow_old()
    host.is_served()
    assert host.ask(Failure("the answer is not this upstream's")) == ["u1"]
    assert not host.is_served()
    assert named(host.lines, events.HEALTH_CHECK_FAILED)


def test_answer_counts_from_the_question():
    host = Host(upstream(1))
    host.grow_old()
    host.is_served()
    (check,) = host.checks.take_due()
    asked_at = host.clock.time
    host.clock.time += MAX_WARMTH_AGE_SECONDS + 0.1
    host.checks.record(check, asked_at, WARM)
    assert not host.is_served()


def test_result_of_another_start_under_the_same_id_is_not_used():
    host = Host(upstream(1))
    host.grow_old()
    for born, is_served in ((2, False), (1, True)):
        host.checks.merge((ColdReport("p", "u1", born, 0.0, 0.1),))
        assert host.is_served() == is_served


def test_results_of_other_hosts_spare_questions():
    host, other = Host(upstream(1)), Host(upstream(1))
    for asking in (host, other):
        asking.grow_old()
        asking.is_served()
    assert other.ask(WARM) == ["u1"]
    other.clock.time += 0.1
    (report,) = other.checks.reports()
    assert report.age == pytest.approx(0.1)
    host.checks.merge((report,))
    assert host.ask(WARM) == []
    assert host.is_served()
    # Relays pass it on, with its age, until it is too old.
    assert host.checks.reports()[0].age == pytest.approx(0.1)
    host.clock.time += cold_checks.REPORT_SECONDS
    assert host.checks.reports() == ()


def test_result_that_says_cold_holds_though_it_may_be_the_earlier_one():
    host = Host(upstream(1, slots=1000))
    host.grow_old()
    host.is_served()
    assert host.ask(WARM) == ["u1"]
    host.checks.merge((ColdReport("p", "u1", 1, 2.0, 0.05),))
    cold_until = host.clock.time + 2.0
    host.clock.time += 0.1
    host.checks.merge((ColdReport("p", "u1", 1, 0.0, 0.12),))
    health = host.upstreams.pool_health("p")[0]
    assert health.cold_until == pytest.approx(cold_until)
    # What is passed on says so as well, with the time that is left.
    (report,) = host.checks.reports()
    assert report.cold_seconds == pytest.approx(1.9)


def test_only_upstreams_that_requests_would_use_are_asked():
    host = Host(
        upstream(1),
        upstream(2, draining=True),
        upstream(3, zone="b"),
        upstream(4, zone="c"),
    )
    host.grow_old()
    assert host.ask(WARM) == []
    for _ in range(5):
        host.is_served()
    assert host.ask(WARM) == ["u1"]
    host.clock.time += 0.9
    host.is_served()
    assert host.ask(WARM) == []


def test_upstreams_of_other_zones_are_asked_when_the_own_zone_is_out():
    host = Host(upstream(1), upstream(2, zone="b"))
    host.put(ZONES_OUT, 2, frozenset(("a",)))
    host.grow_old()
    host.is_served()
    assert host.ask(WARM) == ["u2"]
    assert host.is_served()


def test_a_request_has_few_upstreams_asked():
    host = Host(*(upstream(number) for number in range(30)))
    host.grow_old()
    host.is_served()
    assert len(host.ask(WARM)) == cold_checks.CHECKS_PER_REQUEST
    assert host.ask(WARM) == []
    for _ in range(30):
        host.is_served()
    assert len(host.ask(WARM)) == cold_checks.MAX_CHECKS_AHEAD


def test_upstreams_are_used_while_no_host_reaches_the_store():
    host = Host(upstream(1))
    host.is_store_away = True
    host.grow_old()
    for _ in range(20):
        assert host.is_served()
    assert host.ask(Success(3.0)) == ["u1"]
    # One token of its rate is left to this host.
    assert [host.is_served() for _ in range(5)].count(True) <= 1


def test_upstream_not_reached_in_an_outage_is_asked_before_it_is_used_again():
    host = Host(upstream(1))
    host.is_store_away = True
    host.grow_old()
    choice = host.choose().unwrap()
    host.upstreams.release(choice, UNREACHED, 0.1)
    host.clock.time += 5.0
    assert not host.is_served()
    assert host.ask(WARM) == ["u1"]
    assert host.is_served()


def test_host_with_few_requests_asks_only_those_held_back_in_an_outage():
    host = Host(upstream(1), upstream(2), is_sender=False)
    host.is_store_away = True
    host.grow_old()
    choice = host.choose().unwrap()
    assert host.ask(WARM) == []
    host.upstreams.release(choice, UNREACHED, 0.1)
    host.clock.time += 5.0
    host.is_served()
    assert host.ask(WARM) == [choice.upstream.id]


def test_pool_without_a_path_is_not_asked():
    host = Host(upstream(1))
    host.put(CONFIGURATION, 2, configuration(cold_rate=9.0))
    host.grow_old()
    assert not host.is_served()
    assert host.ask(WARM) == []


REPORT = ColdReport("p", "u1", 5, 1.5, 0.25)


def test_reports_survive_their_encoding():
    encoded = cold_report_codecs.write_cold_reports((REPORT,))
    assert cold_report_codecs.read_cold_reports(encoded) == (REPORT,)
    assert cold_report_codecs.write_cold_reports(()) is None
    assert cold_report_codecs.read_cold_reports(None) == ()


@pytest.mark.parametrize(
    "field, value",
    (
        ("pool", ""),
        ("upstream", "u" * 300),
        ("upstream", None),
        ("born", -1),
        ("cold_seconds", -0.1),
        ("cold_seconds", float("nan")),
        ("cold_seconds", float("inf")),
        ("age", -1.0),
        ("age", float("nan")),
        ("age", 60.0),
    ),
)
def test_reports_out_of_range_are_refused(field, value):
    odd = ColdReportStruct(*REPORT._replace(**{field: value}))
    with pytest.raises(ValueError):
        cold_report_codecs.read_cold_reports([odd])


def test_too_many_reports_are_refused():
    encoded = cold_report_codecs.write_cold_reports(
        (REPORT,) * (cold_checks.MAX_REPORTS + 1)
    )
    with pytest.raises(ValueError):
        cold_report_codecs.read_cold_reports(encoded)


@pytest.fixture(params=[1, 4, 5, 8])
def fleet(request):
    """Return a running fleet of three zones with a store; other draws each time."""
    content = StoreContent()
    for kind in (CONFIGURATION, UPSTREAMS, ZONES_OUT):
        content.put(kind, "main", "1")
    running = Fleet(FleetSettings(seed=request.param), content)
    for number in range(1, 25):
        running.start(number, "abc"[number % 3])
    running.run(6.0)
    return running


def watch(fleet, seconds, check):
    """Call ``check(node, age, is_store_away)`` for each host with an old document."""
    for _ in range(round(seconds / 0.1)):
        fleet.run(0.1)
        for node in fleet.nodes.values():
            age = node.document_cache.age(UPSTREAMS)
            if age > MAX_WARMTH_AGE_SECONDS:
                check(node, age, node.members.is_store_away())


@pytest.mark.parametrize("fleet", [5, 1, 8], indirect=True)
def test_hosts_know_that_the_store_is_away_for_all(fleet):
    verdicts = []

    def check(node, age, is_store_away):
        verdicts.append(is_store_away)

    watch(fleet, 3.0, check)
    assert verdicts == []
    fleet.content.is_down = True
    watch(fleet, 12.0, check)
    assert len(verdicts) > 24 * 80
    assert all(verdicts)


def test_hosts_that_are_cut_off_do_not_take_it_for_an_outage(fleet):
    """A zone, and then single hosts, that reach neither the store nor the others."""
    by_zone = [node.address for node in fleet.nodes.values() if node.zone == "a"]
    for cut in (by_zone, by_zone[:1]):
        seen = set()

        def check(node, age, is_store_away):
            seen.add(node.address)
            assert not is_store_away, (fleet.loop.now, node.address, age)

        fleet.cut = fleet.content.refused = frozenset(cut)
        watch(fleet, 8.0, check)
        assert seen == set(cut)
        fleet.cut = fleet.content.refused = frozenset()
        watch(fleet, 4.0, check)


def test_hosts_learn_of_the_end_of_an_outage_within_half_a_second(fleet):
    """Until then they trust their documents though others have later ones."""
    wrong = []

    def check(node, age, is_store_away):
        ages = [
            other.document_cache.age(CONFIGURATION) for other in fleet.nodes.values()
        ]
        if is_store_away and age - min(ages) > MAX_AGE_DIFFERENCE_SECONDS:
            wrong.append((round(fleet.loop.now, 1), node.address))

    fleet.content.is_down = True
    fleet.run(8.0)
    fleet.content.is_down = False
    watch(fleet, 4.0, check)
    assert wrong == [] or wrong[-1][0] - wrong[0][0] <= 0.5, wrong


def test_upstream_that_returns_to_the_list_is_used_while_the_document_is_fresh():
    """Guards against one that was unsure when it left the list and stays so."""
    host = Host(upstream(1))
    host.grow_old()
    assert not host.is_served()
    host.put(UPSTREAMS, 2, table(upstream(2)))
    assert host.is_served()
    host.put(UPSTREAMS, 3, table(upstream(1)))
    assert host.is_served()
