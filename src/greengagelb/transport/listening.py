"""HTTP servers whose connections can be closed without cutting an answer."""

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.protocols import policies

DRAIN_TIMEOUT_SECONDS = 5.0


def close_ports(
    ports: list[interfaces.IListeningPort], drained: list[defer.Deferred]
) -> defer.Deferred:
    """Close ports; fire once that is done and all Deferreds have fired.

    The end of a process waits for it: closed first, a port takes no caller
    whom nobody would read any more.
    """
    closed = [defer.maybeDeferred(port.stopListening) for port in ports]
    return defer.DeferredList([*closed, *drained], consumeErrors=True)


class DrainingFactory(policies.WrappingFactory):
    """Knows the open connections of the factory that it wraps.

    Stopping the reactor drops what is still in the write buffers: a caller
    would lose the last tokens of an answer that the decisions count as sent.
    ``drain`` therefore closes each connection only after its buffer is
    empty, and tells when all are closed. An answer that is not written yet is
    waited for: an operator's may wait for the store, and with the connection
    closed nobody would tell whether a plan is in force.
    """

    drained: defer.Deferred | None = None

    def unregisterProtocol(  # noqa: N802
        self, p: policies.ProtocolWrapper
    ) -> None:
        """Forget a connection that is closed."""
        super().unregisterProtocol(p)
        self.check_drained()

    def drain(self, reactor: interfaces.IReactorTime) -> defer.Deferred:
        """Answer what was asked, then close, within some time."""
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
        """Close all connections once they are flushed."""
        for connection in list(self.protocols):
            connection.loseConnection()
        self.check_drained()

    def check_drained(self) -> None:
        """Tell that the last connection is closed."""
        if self.drained is not None and not self.protocols:
            drained, self.drained = self.drained, None
            drained.callback(None)
