"""Encoding of messages: structs match the messages, malformed bytes give an error."""

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from trefoilpin import peer_codecs
from trefoilpin.peer_codecs import METHODS
from trefoilpin.thrift_gen.envelopes.ttypes import EnvelopeStruct


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=200), st.sampled_from(sorted(METHODS) or [None]))
def test_random_bytes_never_raise(data, name):
    if name is None:
        return
    method = METHODS[name]
    decoded = peer_codecs.decode(data, method.request, method.request_struct)
    assert isinstance(decoded, Failure) or isinstance(decoded.unwrap(), method.request)


def test_every_struct_has_the_fields_of_its_message():
    for method in METHODS.values():
        for message, struct in (method[::2], method[1::2]):
            fields = {spec[2] for spec in struct.thrift_spec if spec}
            assert fields == set(message._fields), message.__name__


def test_generated_envelope_struct_has_fields():
    assert EnvelopeStruct.thrift_spec
