"""HTTP servers whose connections can be closed without cutting an answer."""

from twisted.internet import defer
from twisted.internet import interfaces
from twisted.protocols import policies

FLUSH_SECONDS = 5.0


class DrainingFactory(policies.WrappingFactory):
    """Knows the open connections of the factory that it wraps.

    Stopping the reactor drops what is still in the write buffers: a caller
    would lose the last tokens of an answer that the decisions count as sent.
    ``drain`` therefore closes each connection only after its buffer is
    empty, and tells when all are closed.
    """

    drained: defer.Deferred | None = None

    def unregisterProtocol(  # noqa: N802
        self, p: policies.ProtocolWrapper
    ) -> None:
        """Forget a connection that is closed."""
        super().unregisterProtocol(p)
        self.check_drained()

    def drain(self, reactor: interfaces.IReactorTime) -> defer.Deferred:
        """Close all connections once they are flushed, within some time."""
        drained = self.drained = defer.Deferred()
        for connection in list(self.protocols):
            connection.loseConnection()
        self.check_drained()
        return drained.addTimeout(
            FLUSH_SECONDS, reactor, onTimeoutCancel=lambda *_: None
        )

    def check_drained(self) -> None:
        """Tell that the last connection is closed."""
        if self.drained is not None and not self.protocols:
            drained, self.drained = self.drained, None
            drained.callback(None)
