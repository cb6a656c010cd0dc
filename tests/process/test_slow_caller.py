"""A caller that does not read its stream, with real sockets."""

import http.client
import json
import socket

import pytest

from tests.common import callers
from tests.common import fleet

pytestmark = pytest.mark.slow

LONG_NAME = 'x' * 2000


def read_some_events(port, caller):
    """Read some events over a connection with a small buffer, then stop.

    The service's long name is part of every event, so that the answer soon
    fills all buffers.
    """
    headers = fleet.bearer(caller.key)
    connection = http.client.HTTPConnection(fleet.HOST, port, timeout=20)
    connection.sock = socket.socket()
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    connection.sock.connect((fleet.HOST, port))
    connection.request(
        'POST', '/v1/chat/completions', json.dumps(caller.body()), headers
    )
    events = callers.read_events(connection.getresponse())
    while len(caller.tokens) < 20:
        caller.take(next(events))
    return connection


def with_long_name(configuration):
    """Return a configuration whose first service has a second name."""
    draft = configuration['services'][0]
    configuration['services'].append(draft | {'name': LONG_NAME})
    for account in configuration['accounts']:
        account['services'].append(LONG_NAME)
    return configuration


def count_running(process):
    headers = fleet.bearer(fleet.OPERATOR_KEY)
    answer = fleet.ask(process.operator_port, '/v1/status', headers=headers)
    return answer.json()['running']


def test_caller_that_does_not_read_loses_only_its_own_stream(tmp_path):
    """A caller requests a long draft and then stops reading.

    If the instance kept all unread data, one account could fill its memory and
    end every other account's streams. The slow caller's stream is aborted; it
    resumes with its cursor and misses nothing. Another account's draft
    continues meanwhile.
    """
    with fleet.small_fleet(tmp_path) as alive:
        alive.configure(with_long_name(alive.configuration()))
        router = alive.instances['router-0']
        slow = callers.StreamCaller('slow', 30_000, service=LONG_NAME)
        slow_connection = read_some_events(router.port, slow)
        other = callers.StreamCaller('other', 300, key=fleet.OTHER_KEY)
        other.read_all(router.port)
        assert other.tokens == other.right_answer()
        fleet.wait_until(lambda: count_running(router) == 0)
        tokens_before = len(slow.tokens)
        stream = slow.read(alive.instances['router-1'].port)
        while len(slow.tokens) < tokens_before + 100:
            next(stream)
        stream.close()
        assert slow.tokens == slow.right_answer()[: len(slow.tokens)]
        slow_connection.close()
