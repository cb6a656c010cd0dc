"""Answers without an end: how each begins, and what follows for ever."""

STATUS = b'HTTP/1.1 200 OK\r\n'
LINE = b'X-Filler: ' + b'f' * 1_000 + b'\r\n'
INFORMATIONAL = b'HTTP/1.1 102 Processing\r\n\r\n'
FILLER = b'f' * 1_000
HEADS = {
    'header lines': (STATUS, LINE),
    'one header line': (STATUS + b'X-Filler: ', FILLER),
    'informational answers': (b'', INFORMATIONAL * 40),
    'informational lines': (b'HTTP/1.1 103 Early Hints\r\n', LINE),
    'blank lines': (b'', b'\r\n' * 500),
    'status line': (b'', FILLER),
}
MOST_PIECES = 100


def send_until_closed(receive, is_closed, first, more):
    """Send pieces until the client closes; return how many bytes it took."""
    sent = 0
    for piece in (first, *[more] * MOST_PIECES):
        if is_closed():
            return sent
        if piece:
            receive(piece)
        sent += len(piece)
    raise AssertionError(f'still open after {sent} bytes')
