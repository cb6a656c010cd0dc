"""The forms in which servers end their answers, and answers in them."""

# The fields of a head that say how its body ends.
FRAMING = {
    'length': lambda body: [b'Content-Length: %d' % len(body)],
    'chunks': lambda body: [b'Transfer-Encoding: chunked'],
    'announced': lambda body: [b'Connection: close'],
    'http-1.0': lambda body: [],
}


def write_answer(form, fields, body, lines=None):
    """Return an answer in a form, or only the first lines of its head.

    A server that loses the rest of its head may still end it.
    """
    version = b'HTTP/1.0' if form == 'http-1.0' else b'HTTP/1.1'
    head = [version + b' 200 OK', *fields, *FRAMING[form](body)]
    raw = b'\r\n'.join(head[:lines]) + b'\r\n\r\n'
    if form == 'chunks' and lines is None:
        return raw + b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
    return raw + body


# In the place of a status; none is one of HTTP.
INVALID_STATUSES = [
    b'000',
    b'0',
    b'',
    b'099',
    b'99',
    b'600',
    b'999',
    b'1000',
    b'-200',
    b'+200',
    b'0200',
    b'2 00',
]
