"""What a failed write of the platform's client proves."""

from greengagelb import errors
from greengagelb import settings
from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination.sharing import store_budget
from greengagelb.state import claims
from greengagelb.transport import claim_store
from greengagelb.transport import platform_client
from tests.common import wires

RECORD = claims.ClaimRecord('i.1', claims.ClaimStage.CLAIMED)


class Store:
    """A claim store and the events that it reports."""

    def __init__(self):
        self.network = wires.Network()
        self.events = []
        self.records = []
        platform_settings = settings.PlatformSettings(
            wires.ADDRESS, wires.PORT
        )
        self.platform = platform_client.PlatformClient(
            self.network.reactor, platform_settings, self.records.append
        )
        self.claims = claim_store.ClaimStore(self.platform, self.events.append)

    def write(self):
        self.claims.write_claim(actions.WriteClaim('i.1', 'key', 0, RECORD))

    def only_event(self):
        (found,) = self.events
        return found


def test_written_claim_comes_with_its_version():
    store = Store()
    store.write()
    store.network.accept().answer(b'{"key":"k","version":7,"value":""}')
    assert store.only_event() == events.ClaimWritten('i.1', 7)


def test_conflict_shows_the_row_that_stands_there():
    store = Store()
    store.write()
    body = (
        b'{"key":"k","version":3,"value":'
        b'"{\\"holder\\":\\"j.1\\",\\"stage\\":\\"released\\"}"}'
    )
    store.network.accept().answer(body, status='409 Conflict')
    row = store.only_event().row
    assert (row.version, row.record.holder) == (3, 'j.1')


def test_refused_connection_proves_that_nothing_was_written():
    store = Store()
    store.write()
    store.network.refuse()
    assert not store.only_event().handed_over


def test_store_timeout_leaves_the_outcome_unknown_and_closes_the_connection():
    """The store receives a claim and does not answer.

    If the claim were taken for not written, it could still be written later
    and block the request.
    """
    store = Store()
    store.write()
    wire = store.network.accept()
    store.network.reactor.advance(10.0)
    assert store.only_event().handed_over
    assert wire.closed or wire.transport.disconnected


def test_malformed_store_answer_fails_the_write():
    """A proxy answers in place of the store with an HTML page.

    If this were ignored, the caller would wait until its deadline.
    """
    for status, body in [('200 OK', b'<html>'), ('409 Conflict', b'{}')]:
        store = Store()
        store.write()
        store.network.accept().answer(body, status=status)
        assert store.only_event().handed_over


def test_open_circuit_answers_without_a_connection():
    store = Store()
    for _ in range(store_budget.FAILURES_TO_OPEN):
        store.write()
        store.network.refuse()
    before = store.network.connections
    kinds = [record.kind for record in store.records]
    assert 'store-circuit-opened' in kinds
    store.platform.budget.open_until = store.network.reactor.seconds() + 5.0
    store.write()
    assert store.network.connections == before
    assert not store.events[-1].handed_over


def test_busy_store_counts_as_a_failure():
    store = Store()
    failed = []
    store.platform.read_row('t', 'k').addErrback(failed.append)
    store.network.accept().answer(b'', status='429 Busy', length=5)
    (why,) = failed
    assert why.check(errors.PlatformUnavailable)
    assert store.platform.budget.consecutive_failures == 1


def test_request_that_can_not_be_built_is_not_counted_as_in_flight():
    """A bug raises an exception while a request is built.

    If each counted as in flight forever, 64 of them would block all requests
    to the store.
    """
    store = Store()
    failed = []
    kind = store_budget.RequestKind.READ
    store.platform.send_request(kind, lambda: 1 // 0).addErrback(failed.append)
    assert len(failed) == 1
    assert store.platform.budget.in_flight == 0
