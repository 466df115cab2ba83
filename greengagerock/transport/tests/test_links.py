"""Tests of links over loopback sockets."""

import select

import pynng
import pytest

from greengagerock.core import GreengageError, Timestamp
from greengagerock.membership import LeaseManagerStarted
from greengagerock.transport import Envelope, Links, encode_envelope
from greengagerock.transport.monitor import LINK_SILENCE_LIMIT_S, MessageSequence

A = "127.7.0.1:9301"
B = "127.7.0.2:9301"
WAIT_S = 10.0
SEQUENCE = MessageSequence(1, 1)


def receive(links):
    """Return the next envelopes or errors that arrive."""
    while select.select([links.receive_fd], [], [], WAIT_S)[0]:
        received = links.receive()
        if received:
            return received
    raise AssertionError("nothing arrived")


def test_message_arrives_with_its_sender():
    a, b = Links("a", A), Links("b", B)
    a.send(B, LeaseManagerStarted(3), Timestamp(5, 1), 0.0)
    (envelope,) = receive(b)
    assert (envelope.host, envelope.address, envelope.message) == ("a", A, LeaseManagerStarted(3))
    assert envelope.sent_at == Timestamp(5, 1)
    a.close()
    b.close()


def test_undecodable_bytes_are_reported_and_the_link_still_works():
    b = Links("b", B)
    with pynng.Push0(dial=f"tcp://{B}", block_on_dial=True) as socket:
        socket.send(b"\xff\x00garbage")
        (error,) = receive(b)
        assert isinstance(error, GreengageError)
        assert error.code == "bad-message"
    a = Links("a", A)
    a.send(B, LeaseManagerStarted(1), Timestamp(1), 0.0)
    assert receive(b)[0].message == LeaseManagerStarted(1)
    a.close()
    b.close()


def test_message_that_cannot_be_encoded_is_a_typed_error_and_the_link_still_works():
    """An integer of over 64 bits has no encoding; ``OverflowError`` reached the event loop."""
    a, b = Links("a", A), Links("b", B)
    with pytest.raises(GreengageError, match="bad-message"):
        a.send(B, LeaseManagerStarted(1 << 64), Timestamp(1), 0.0)
    assert a.stats.unencodable == 1
    a.send(B, LeaseManagerStarted(1), Timestamp(1), 0.0)
    assert receive(b)[0].message == LeaseManagerStarted(1)
    a.close()
    b.close()


def test_message_that_is_nested_too_deeply_is_reported():
    b = Links("b", B)
    envelope = encode_envelope(Envelope("a", A, Timestamp(1), LeaseManagerStarted(3), SEQUENCE))
    nested = envelope[:-1] + b"\x91" * 100_000
    with pynng.Push0(dial=f"tcp://{B}", block_on_dial=True) as socket:
        socket.send(nested)
        (error,) = receive(b)
    assert error.code == "bad-message"
    b.close()


def test_link_without_acknowledgements_is_dialled_again_and_works():
    a, b = Links("a", A), Links("b", B)
    a.send(B, LeaseManagerStarted(1), Timestamp(1), 0.0)
    receive(b)
    a.send(B, LeaseManagerStarted(2), Timestamp(2), LINK_SILENCE_LIMIT_S + 0.1)
    assert a.stats.redialled == 1
    assert receive(b)[0].message == LeaseManagerStarted(2)
    b.send(A, LeaseManagerStarted(3), Timestamp(3), 3.0)
    receive(a)
    a.send(B, LeaseManagerStarted(4), Timestamp(4), 5.0)
    assert a.stats.redialled == 1
    a.close()
    b.close()


def test_link_that_fails_in_one_direction_is_dialled_again():
    """The peer's messages still arrive, but acknowledge none of the messages sent to it."""
    a, b = Links("a", A), Links("b", B)
    a.send(B, LeaseManagerStarted(1), Timestamp(1), 0.0)
    for number in range(5):
        b.send(A, LeaseManagerStarted(number), Timestamp(number), 0.1)
        receive(a)
    a.send(B, LeaseManagerStarted(2), Timestamp(2), LINK_SILENCE_LIMIT_S + 0.1)
    assert a.stats.redialled == 1
    a.close()
    b.close()


def test_send_to_an_unreachable_peer_does_not_block():
    a = Links("a", A)
    for number in range(1000):
        a.send("127.7.0.9:9999", LeaseManagerStarted(number), Timestamp(number), 0.0)
    assert a.stats.dropped > 0
    a.close()


def test_address_in_use_is_a_typed_error():
    a = Links("a", A)
    try:
        Links("b", A)
    except GreengageError as error:
        assert error.code == "link-failed"
    else:
        raise AssertionError("two listeners on one address")
    a.close()


def test_link_that_cannot_be_dialled_drops_the_message():
    a = Links("a", A)
    a.send("not-an-address", LeaseManagerStarted(1), Timestamp(1), 0.0)
    assert a.stats.dropped == 1
    a.close()
