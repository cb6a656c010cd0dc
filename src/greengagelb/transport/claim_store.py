"""Writes claims to the platform's table service."""

import dataclasses
import time
from typing import Any

from twisted.internet import defer

from greengagelb import errors
from greengagelb.coordination import actions
from greengagelb.coordination import events
from greengagelb.coordination.sharing import store_budget
from greengagelb.protocol import codec
from greengagelb.protocol import platform_api
from greengagelb.state import claims
from greengagelb.transport import engine_client
from greengagelb.transport import platform_client

CLAIM_TABLE = 'claims'
CLAIM_RETENTION_SECONDS = 24 * 3600.0


class ClaimStore:
    """Writes claim rows and reports the outcome of each write."""

    def __init__(
        self,
        platform: platform_client.PlatformClient,
        dispatch: engine_client.Dispatch,
    ) -> None:
        self.platform = platform
        self.dispatch = dispatch

    @defer.inlineCallbacks
    def write_claim(self, action: actions.WriteClaim) -> Any:
        """Write a claim row; dispatches exactly one event with the outcome.

        A malformed answer counts as a write whose outcome is unknown. If its
        error propagated, it would only be logged, and the caller would wait
        until its deadline.
        """
        holder = action.holder
        expires_at = time.time() + CLAIM_RETENTION_SECONDS
        record = dataclasses.replace(action.record, expires_at=expires_at)
        value = codec.encode(record).decode()
        kind = store_budget.RequestKind.DEFERRABLE_WRITE
        if record.stage is claims.ClaimStage.CLAIMED:
            kind = store_budget.RequestKind.WRITE
        try:
            row = yield self.platform.write_row(
                CLAIM_TABLE,
                action.key,
                action.expected_version,
                value,
                kind,
                action.account,
            )
            answer = events.ClaimWritten(holder, row.version)
        except errors.VersionConflict as exc:
            answer = self.event_of_conflict(holder, exc.row)
        except errors.PlatformUnavailable as exc:
            answer = events.ClaimWriteFailed(holder, exc.handed_over)
        except errors.GreengagelbError:
            answer = events.ClaimWriteFailed(holder, True)
        self.dispatch(answer)

    def event_of_conflict(
        self, holder: str, row: platform_api.Row
    ) -> events.ClaimConflicted | events.ClaimWriteFailed:
        """Return the event for a conflicting row, if it can be decoded."""
        try:
            record = codec.decode(row.value, claims.ClaimRecord)
        except errors.ProtocolError:
            return events.ClaimWriteFailed(holder, True)
        found = claims.ClaimRow(row.version, record)
        return events.ClaimConflicted(holder, found)
