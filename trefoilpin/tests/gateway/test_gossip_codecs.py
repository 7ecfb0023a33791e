"""Encoding of gossip messages, and messages of hosts that run an earlier version."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from trefoilpin.gateway.admission.account_usage import PoolReport
from trefoilpin.gateway.admission.pressure_estimates import PressureReport
from trefoilpin.gateway.admission.retry_pools import (
    GrantedRetries,
    RetryAsk,
    RetryGrant,
    RetryWant,
)
from trefoilpin.gateway.balancing.cold_grants import (
    ColdAsk,
    ColdGrant,
    GrantedTokens,
    Want,
)
from trefoilpin.gateway.fleet import gossip_codecs, member_codecs
from trefoilpin.gateway.fleet.messages import Document, GossipMessage, ZoneView
from trefoilpin.gateway.store.document_cache import UPSTREAMS, DocumentVersion
from trefoilpin.thrift_gen.bulletins.ttypes import BulletinStruct

MESSAGE = GossipMessage(
    7, 1, "a", "r", 9.0, 0.5, False, True, False, True, 0.1, (), (), (), {}, {}, (), ()
)
AGES = st.lists(st.floats(0.0, 10.0), max_size=300)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(AGES, st.integers(0, (1 << 63) - 1))
def test_ages_of_a_view_remain_upper_bounds(ages, digest):
    message = MESSAGE._replace(zone_views=(ZoneView("b", digest, tuple(ages)),))
    decoded = gossip_codecs.decode(gossip_codecs.encode(message)).unwrap()
    (view,) = decoded.zone_views
    assert (view.zone, view.digest, len(view.ages)) == ("b", digest, len(ages))
    for sent, received in zip(ages, view.ages):
        is_known = sent + 0.1 < member_codecs.UNKNOWN_VIEW_AGE / (
            member_codecs.VIEW_AGE_UNITS_PER_SECOND
        )
        assert received >= sent - 1e-9
        assert math.isinf(received) or received <= sent + 0.05
        assert not (is_known and math.isinf(received))


def test_message_of_an_earlier_version_has_no_views(monkeypatch):
    read = BulletinStruct.read

    def read_earlier(self, protocol):
        read(self, protocol)
        self.zone_views = None

    data = gossip_codecs.encode(MESSAGE)
    monkeypatch.setattr(BulletinStruct, "read", read_earlier)
    assert gossip_codecs.decode(data).unwrap().zone_views == ()


REPORTS = (
    PoolReport("p", True, {0: 0.0, 2: 1.5}, {"a": 1.25, "": 0.5}),
    PoolReport("q", True, {}, {}),
    PoolReport("r", False, {}, {"a": 2.0}),
)


def test_reports_on_pools_under_pressure_arrive_as_sent():
    """Guards against levels that reach another priority or account."""
    data = gossip_codecs.encode(MESSAGE._replace(pool_reports=REPORTS))
    assert gossip_codecs.decode(data).unwrap().pool_reports == REPORTS


def test_message_without_pressure_is_as_in_earlier_versions(monkeypatch):
    """Guards against bytes that each message costs while no request waits."""
    data = gossip_codecs.encode(MESSAGE)
    monkeypatch.setattr(gossip_codecs, "set_pool_reports", lambda *arguments: None)
    assert gossip_codecs.encode(MESSAGE) == data
    assert gossip_codecs.decode(data).unwrap().pool_reports == ()


@pytest.mark.parametrize("field", ["pressed_levels", "usage_accounts", "usage_seconds"])
def test_reports_of_different_lengths_are_rejected(monkeypatch, field):
    """Guards against service that is counted for another account or pool."""
    read = BulletinStruct.read

    def read_damaged(self, protocol):
        read(self, protocol)
        getattr(self, field).pop()

    data = gossip_codecs.encode(MESSAGE._replace(pool_reports=REPORTS))
    monkeypatch.setattr(BulletinStruct, "read", read_damaged)
    assert isinstance(gossip_codecs.decode(data), Failure)


@pytest.mark.parametrize("seconds", [-1.0, math.inf, math.nan])
def test_time_without_an_outage_that_is_out_of_range_is_rejected(seconds):
    """Guards against a message that makes a host see an outage, or none, for good."""
    version = DocumentVersion(UPSTREAMS, 7, 1, 0.1, seconds)
    data = gossip_codecs.encode(MESSAGE._replace(versions=(version,)))
    assert isinstance(gossip_codecs.decode(data), Failure)
    document = Document(UPSTREAMS, 7, 0.1, b"", 0, seconds)
    data = gossip_codecs.encode_document(document)
    assert isinstance(gossip_codecs.decode_document(data), Failure)


def test_era_is_sent_with_versions_and_documents():
    """Guards against hosts that compare revisions of different eras."""
    version = DocumentVersion(UPSTREAMS, 7, 1, 0.1, 0.5, 3)
    data = gossip_codecs.encode(MESSAGE._replace(versions=(version,)))
    assert gossip_codecs.decode(data).unwrap().versions == (version,)
    document = Document(UPSTREAMS, 7, 0.1, b"", 0, 0.5, 3)
    data = gossip_codecs.encode_document(document)
    assert gossip_codecs.decode_document(data).unwrap() == document


@pytest.mark.parametrize("era", [-1, gossip_codecs.MAX_ERA + 1])
def test_era_that_is_out_of_range_is_rejected(era):
    """Guards against a message after which a host ignores the store for good."""
    version = DocumentVersion(UPSTREAMS, 7, 1, 0.1, 0.5, era)
    data = gossip_codecs.encode(MESSAGE._replace(versions=(version,)))
    assert isinstance(gossip_codecs.decode(data), Failure)


PRESSED = PressureReport("p", False, 12.5, 0.25, (0.1, 0.2, 0.4, 700.0))


def test_reports_of_pools_under_pressure_are_sent_only_if_there_are_any():
    """Guards against bytes between zones for pools that have room."""
    data = gossip_codecs.encode(MESSAGE._replace(pressure_reports=(PRESSED,)))
    (report,) = gossip_codecs.decode(data).unwrap().pressure_reports
    assert report == PRESSED._replace(waits=(0.1, 0.2, 0.4, 655.35))
    assert len(data) - len(gossip_codecs.encode(MESSAGE)) <= 100


@pytest.mark.parametrize(
    "reports",
    [
        (PRESSED._replace(drain_rate=-1.0),),
        (PRESSED._replace(drain_rate=math.nan),),
        (PRESSED._replace(shed_share=1.5),),
        (PRESSED._replace(pool="p" * 300),),
        (PRESSED,) * 17,
    ],
)
def test_report_that_is_out_of_range_is_rejected(reports):
    """Guards against a host that makes others reject or admit everything."""
    data = gossip_codecs.encode(MESSAGE._replace(pressure_reports=reports))
    assert isinstance(gossip_codecs.decode(data), Failure)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=200), st.integers(0, 400))
def test_damaged_messages_are_rejected_without_an_exception(noise, position):
    data = gossip_codecs.encode(
        MESSAGE._replace(zone_views=(ZoneView("b", 1, (1.0,)),))
    )
    position = min(position, len(data))
    damaged = data[:position] + noise + data[position + len(noise) :]
    decoded = gossip_codecs.decode(damaged)
    assert isinstance(decoded, Failure) or decoded.unwrap().zone is not None


ASK = ColdAsk(3, (Want("u1", 7, "p", 2), Want("u2", 8, "q", 1)))
GRANT = ColdGrant(3, True, "10.0.0.1", (GrantedTokens("u1", 7, 1),))


def test_ask_for_tokens_and_its_response_arrive_as_sent():
    data = gossip_codecs.encode(MESSAGE._replace(cold_ask=ASK, cold_grant=GRANT))
    decoded = gossip_codecs.decode(data).unwrap()
    assert (decoded.cold_ask, decoded.cold_grant) == (ASK, GRANT)
    decoded = gossip_codecs.decode(gossip_codecs.encode(MESSAGE)).unwrap()
    assert (decoded.cold_ask, decoded.cold_grant) == (None, None)


@pytest.mark.parametrize(
    "fields",
    [
        {"cold_ask": ASK._replace(number=-1)},
        {"cold_ask": ASK._replace(wants=(Want("u" * 400, 7, "p", 1),))},
        {"cold_ask": ASK._replace(wants=ASK.wants * 40)},
        {"cold_ask": ASK._replace(wants=(Want("u1", 7, "p", -1),))},
        {"cold_grant": GRANT._replace(granted=(GrantedTokens("u1", -7, 1),))},
        {"cold_grant": GRANT._replace(granted=(GrantedTokens("u1", 7, 5000),))},
        {"cold_grant": GRANT._replace(granted=GRANT.granted * 70)},
    ],
)
def test_tokens_out_of_range_are_rejected(fields):
    data = gossip_codecs.encode(MESSAGE._replace(**fields))
    assert isinstance(gossip_codecs.decode(data), Failure)


RETRY_ASK = RetryAsk(3, (RetryWant("p", 2, 0.0, (5, 0, 3)), RetryWant("q", 1, 4.0, ())))
RETRY_GRANT = RetryGrant(3, True, "10.0.0.1", (GrantedRetries("p", 1, 2.5),))


def test_ask_for_retries_and_its_response_arrive_as_sent():
    fields = {"retry_ask": RETRY_ASK, "retry_grant": RETRY_GRANT}
    decoded = gossip_codecs.decode(gossip_codecs.encode(MESSAGE._replace(**fields)))
    assert decoded.unwrap().retry_ask == RETRY_ASK
    assert decoded.unwrap().retry_grant == RETRY_GRANT


@pytest.mark.parametrize(
    "fields",
    [
        {"retry_ask": RETRY_ASK._replace(number=-1)},
        {"retry_ask": RETRY_ASK._replace(wants=RETRY_ASK.wants * 33)},
        {"retry_ask": RETRY_ASK._replace(wants=(RetryWant("p", 65, 0.0, ()),))},
        {"retry_ask": RETRY_ASK._replace(wants=(RetryWant("p", 1, -0.5, ()),))},
        {"retry_ask": RETRY_ASK._replace(wants=(RetryWant("p", 1, math.nan, ()),))},
        {"retry_ask": RETRY_ASK._replace(wants=(RetryWant("p", 1, math.inf, ()),))},
        {"retry_ask": RETRY_ASK._replace(wants=(RetryWant("p", 1, 0.0, (-1,)),))},
        {"retry_ask": RETRY_ASK._replace(wants=(RetryWant("p", 1, 0.0, (1 << 20,)),))},
        {"retry_ask": RETRY_ASK._replace(wants=(RetryWant("p", 1, 0.0, (1,) * 10),))},
        {"retry_grant": RETRY_GRANT._replace(granted=(GrantedRetries("p", 65, 0.0),))},
        {"retry_grant": RETRY_GRANT._replace(granted=RETRY_GRANT.granted * 65)},
    ],
)
def test_retries_out_of_range_are_rejected(fields):
    """Guards against a host that makes others send more than the fleet may."""
    data = gossip_codecs.encode(MESSAGE._replace(**fields))
    assert isinstance(gossip_codecs.decode(data), Failure)


def test_requests_that_are_given_twice_are_rejected():
    """Guards against requests that pay once for each mention of their pool."""
    wants = (RetryWant("p", 1, 0.0, (9,)), RetryWant("p", 1, 4.0, (9,)))
    ask = RETRY_ASK._replace(wants=wants)
    data = gossip_codecs.encode(MESSAGE._replace(retry_ask=ask))
    assert isinstance(gossip_codecs.decode(data), Failure)


@pytest.mark.parametrize("holder", ["no.such.host", "a" * 300, "10.0.0.1\0"])
@pytest.mark.parametrize("field, grant", [("cold", GRANT), ("retry", RETRY_GRANT)])
def test_holder_that_is_no_address_is_rejected(field, grant, holder):
    """Guards against a look-up of a name, for which the whole host stands still."""
    fields = {f"{field}_grant": grant._replace(is_holder=False, holder=holder)}
    data = gossip_codecs.encode(MESSAGE._replace(**fields))
    assert isinstance(gossip_codecs.decode(data), Failure)
