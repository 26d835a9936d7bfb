"""Tests of the response reader with bytes that belong to no request."""

from __future__ import annotations

import pytest

from ingress.net.http_messages import MAX_BUFFERED_BODY, ResponseEnd, ResponseReader

SMALL = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nContent-Length: 2\r\n\r\nok"
BODY = b"x" * (MAX_BUFFERED_BODY + 1)
LARGE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY
CHUNKS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)


@pytest.mark.parametrize("answer", [LARGE, CHUNKS], ids=["length", "chunks"])
@pytest.mark.parametrize(
    "behind",
    [SMALL, b"noise", SMALL[:20], b"HTTP/1.1 103 Early\r\n\r\n"],
    ids=["answer", "noise", "part", "interim"],
)
def test_bytes_after_a_large_response_do_not_affect_it(answer: bytes, behind: bytes) -> None:
    reader = ResponseReader(streams_body=True)
    reader.feed(answer[:-100])
    part = reader.take()
    assert not reader.feed(answer[-100:] + behind)
    assert reader.head is not None and reader.done and reader.broken
    assert part + reader.take() == BODY


def test_large_response_followed_by_another_on_one_connection() -> None:
    reader = ResponseReader(streams_body=True)
    reader.feed(LARGE)
    assert reader.done and not reader.broken
    reader.expect(ResponseEnd())
    assert [answer.body for answer in reader.feed(SMALL)] == [b"ok"] and reader.head is None


@pytest.mark.parametrize("ends", [ResponseEnd(), ResponseEnd(bodiless=True)])
def test_interim_response_after_the_final_one_makes_the_connection_unusable(ends: ResponseEnd) -> None:
    reader = ResponseReader(streams_body=True)
    reader.expect(ends)
    assert len(reader.feed(b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 204 X\r\n\r\n")) == 1 and not reader.broken
    assert len(reader.feed(b"HTTP/1.1 204 X\r\n\r\nHTTP/1.1 103 Early\r\n\r\n")) == 1 and reader.broken


def test_protocol_switch_is_not_a_response() -> None:
    reader = ResponseReader(streams_body=True)
    change = b"HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nmore"
    assert not reader.feed(change) and reader.broken


@pytest.mark.parametrize("line", [b"Attempt-Id: a0", b"Backend-Seal: s", b"Content-Length: 2"])
def test_response_with_two_request_ids_is_malformed(line: bytes) -> None:
    reader = ResponseReader(streams_body=True)
    head = b"HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nBackend-Seal: t\r\n%s\r\nContent-Length: 2\r\n\r\nok"
    assert not reader.feed(head % line) and reader.broken
