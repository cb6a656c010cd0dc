"""Calls to the platform's store whose answers are lost."""

from twisted.internet import defer
from twisted.internet import task

from greengagelb import errors
from greengagelb.platform import store
from greengagelb.state.relay import positions
from greengagelb.transport.relay import store_watch
from tests.common import relay_wires
from tests.common import watches


class LosingStore:
    """A source whose first configuration call fails; counts the calls."""

    def __init__(self):
        self.asked = 0

    def read_configuration(self, position, wait_seconds):
        self.asked += 1
        if self.asked == 1:
            return defer.fail(errors.PlatformUnavailable('lost'))
        return defer.Deferred()

    def read_engines(self, position):
        return defer.Deferred()

    def register(self, member):
        return defer.Deferred()


def test_lost_answer_to_a_waiting_call_is_noticed_in_time():
    """Guards against waiting for a configuration whose answer was lost.

    The connection stays open and silent. Until the call is given up, the old
    configuration stays in force after the store has recovered: added keys are
    refused and removed ones accepted. This occurred in a fault-injection run,
    2.5 s after a change and 3 s after the fault.
    """
    server = relay_wires.Server()
    platform = store.PlatformStore(server.pool, relay_wires.ADDRESS)
    failures = []
    position = positions.StorePosition(positions.NO_ERA, 5)
    asked = platform.read_configuration(
        position, store_watch.CONFIGURATION_WAIT_SECONDS
    )
    asked.addErrback(failures.append)
    server.accept()
    server.reactor.advance(2.2)
    assert failures[0].check(errors.PlatformUnavailable)


def test_call_that_failed_once_is_repeated_soon():
    clock = task.Clock()
    source = LosingStore()
    watches.watch_on(source, clock).start()
    clock.advance(0.3)
    assert source.asked == 2
