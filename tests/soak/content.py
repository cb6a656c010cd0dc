"""What answers must hold, as engines and the judge both work it out.

An answer follows from the request's body alone, so a piece of another
request, or a piece at a wrong place, can't look right.
"""

import hashlib


def digest(*parts: object) -> str:
    """Return a short digest of some parts."""
    text = '|'.join(str(part) for part in parts)
    return hashlib.sha256(text.encode()).hexdigest()[:24]


def stream_body(request_id: str, events: int) -> bytes:
    """Return the body of a request for a stream of so many events."""
    return f'{request_id},{events}'.encode()


def events_wanted(body: bytes) -> int:
    """Return how many events the stream for a body has."""
    return int(body.rpartition(b',')[2])


def event(body: bytes, number: int) -> bytes:
    """Return one event of the stream for a body, as it is sent."""
    text = digest(body, number)
    return f'id: {number}\ndata: {text}\n\n'.encode()


def stream(body: bytes, first: int = 1) -> bytes:
    """Return the stream for a body from an event on."""
    numbers = range(first, events_wanted(body) + 1)
    return b''.join(event(body, number) for number in numbers)


def call(request_id: str, body: bytes) -> bytes:
    """Return the answer to a call."""
    return digest(request_id, body).encode()
