"""HTTP servers that drain their connections before they close."""

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.protocols import policies

DRAIN_TIMEOUT_SECONDS = 5.0


def close_ports(
    ports: list[interfaces.IListeningPort], drained: list[defer.Deferred]
) -> defer.Deferred:
    """Close ports; fire once that is done and all Deferreds have fired.

    The end of the process waits for this. A closed port accepts no caller
    whose request would never be read.
    """
    closed = [defer.maybeDeferred(port.stopListening) for port in ports]
    return defer.DeferredList([*closed, *drained], consumeErrors=True)


class DrainingFactory(policies.WrappingFactory):
    """Tracks the open connections of the factory that it wraps.

    Stopping the reactor drops the data in write buffers: a caller would lose
    the last tokens of an answer that the decisions count as sent. ``drain``
    therefore closes each connection only after its buffer is empty, and fires
    when all are closed. It also waits for answers that are not written yet: an
    operator's request may be waiting for the store, and on a closed connection
    the operator would not learn whether a plan is in force.
    """

    drained: defer.Deferred | None = None

    def unregisterProtocol(  # noqa: N802
        self, p: policies.ProtocolWrapper
    ) -> None:
        """Forget a connection that is closed."""
        super().unregisterProtocol(p)
        self.check_drained()

    def drain(self, reactor: interfaces.IReactorTime) -> defer.Deferred:
        """Answer the open requests, then close, within a timeout."""
        drained = self.drained = defer.Deferred()
        open_requests = self.wrappedFactory.open_requests
        open_requests.refuse_new_requests()
        open_requests.wait_until_answered().addCallback(
            lambda _: self.close_connections()
        )
        return drained.addTimeout(
            DRAIN_TIMEOUT_SECONDS, reactor, onTimeoutCancel=lambda *_: None
        )

    def close_connections(self) -> None:
        """Close each connection once its buffer is flushed."""
        for connection in list(self.protocols):
            connection.loseConnection()
        self.check_drained()

    def check_drained(self) -> None:
        """Fire the Deferred of ``drain`` if no connection is open."""
        if self.drained is not None and not self.protocols:
            drained, self.drained = self.drained, None
            drained.callback(None)
