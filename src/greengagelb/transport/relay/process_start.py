"""Starts the instance of a process, also while its ports are still taken."""

import sys

from twisted.internet import interfaces

from greengagelb import errors
from greengagelb.transport import recorder
from greengagelb.transport.relay import instance

# A process that is being ended may hold its ports for this long.
PORTS_TAKEN_SECONDS = 5.0
RETRY_SECONDS = 0.2


class InstanceStarter:
    """Starts an instance, or ends the process if its ports stay taken.

    It gives up at ``give_up_at``, a monotonic time; ``has_failed`` tells that
    it has.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorCore,
        relay_instance: instance.RelayInstance,
    ) -> None:
        self.reactor = reactor
        self.instance = relay_instance
        self.give_up_at = reactor.seconds() + PORTS_TAKEN_SECONDS
        self.has_failed = False

    def start(self) -> None:
        """Start the instance; try again for a time if a port is taken."""
        if self.instance.is_stopping:
            return
        try:
            self.instance.start()
        except errors.CannotListen as exc:
            self.handle_taken_port(exc)

    def handle_taken_port(self, exc: errors.CannotListen) -> None:
        """Try again later, or end the process with an error."""
        if self.reactor.seconds() < self.give_up_at:
            recorder.log.warning('port-taken', why=str(exc))
            self.reactor.callLater(RETRY_SECONDS, self.start)
            return
        self.has_failed = True
        sys.stderr.write(f'greengagelb: {exc.code}: {exc}\n')
        self.reactor.stop()
