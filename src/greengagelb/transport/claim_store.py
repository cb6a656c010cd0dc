"""Writes claims through the platform's table service."""

from typing import Any

from twisted.internet import defer

from greengagelb import errors
from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.protocol import codec
from greengagelb.state import claims
from greengagelb.transport import engine_client
from greengagelb.transport import platform_client

TABLE = 'claims'


class ClaimStore:
    """Inserts claims and records outcomes."""

    def __init__(
        self,
        platform: platform_client.PlatformClient,
        dispatch: engine_client.Dispatch,
    ) -> None:
        self.platform = platform
        self.dispatch = dispatch

    @defer.inlineCallbacks
    def insert(self, action: actions.InsertClaim) -> Any:
        """Insert a claim and report whose it is."""
        exchange = action.exchange
        value = codec.encode(action.record).decode()
        try:
            yield self.platform.write(TABLE, action.key, 0, value)
        except errors.VersionConflict:
            yield self.settle(action, True)
        except errors.PlatformUnavailable as exc:
            if not exc.handed_over:
                self.dispatch(events.ClaimUnsettled(exchange, False))
                return
            yield self.settle(action, True)
        else:
            self.dispatch(events.ClaimWritten(exchange))

    @defer.inlineCallbacks
    def settle(self, action: actions.InsertClaim, handed_over: bool) -> Any:
        """Read the row back to learn whose claim it is.

        The platform's answer can be lost after the write took effect. Taking
        that for a failure would leave a claim that nobody honours; taking it
        for a success could run a call twice.
        """
        exchange = action.exchange
        try:
            row = yield self.platform.read(TABLE, action.key)
        except errors.PlatformUnavailable:
            self.dispatch(events.ClaimUnsettled(exchange, handed_over))
            return
        if row is None:
            self.dispatch(events.ClaimUnsettled(exchange, handed_over))
            return
        record = codec.decode(row.value, claims.ClaimRecord)
        if record.holder == action.record.holder:
            self.dispatch(events.ClaimWritten(exchange))
        else:
            self.dispatch(events.ClaimTaken(exchange, record))

    @defer.inlineCallbacks
    def record_outcome(self, action: actions.RecordOutcome) -> Any:
        """Write an outcome over its claim; a loss of it harms no promise."""
        value = codec.encode(action.record).decode()
        try:
            yield self.platform.write(TABLE, action.key, 1, value)
        except (errors.VersionConflict, errors.PlatformUnavailable):
            return
