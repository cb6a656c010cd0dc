"""Every error that the project raises, by layer.

Each class carries a stable ``code``. Operators search for codes in logs and
in the operators' page, and callers branch on them, so a code never changes
its meaning. A layer raises only its own errors: it catches those of the
layer below and raises its own from them, so that no caller has to know what
lies two layers down.
"""

from typing import Any


class GreengagelbError(Exception):
    """Base of all errors; never raised itself."""

    code = 'internal'


class SettingsError(GreengagelbError):
    """A settings file is wrong; the message says what to write instead."""

    code = 'settings-invalid'


class StateError(GreengagelbError):
    """A data class was given values that contradict each other."""

    code = 'state-invalid'


class CoordinationError(GreengagelbError):
    """A decision object was asked for something it can't decide."""

    code = 'coordination'


class InvariantViolated(CoordinationError):
    """A promise to callers or operators would have been broken.

    Raised in place of an ``assert`` so that ``python -O`` keeps the check.
    """

    code = 'invariant-violated'


class ProtocolError(GreengagelbError):
    """A message from outside can't be understood."""

    code = 'bad-message'


class TransportError(GreengagelbError):
    """A peer, an upstream or the platform can't be reached or misbehaves."""

    code = 'transport'


class PlatformUnavailable(TransportError):
    """The platform's service gave no answer; a write may have happened.

    ``handed_over`` is false only where no byte of the request ever left.
    """

    code = 'platform-unavailable'
    handed_over = True


class AnswerTooLong(TransportError):
    """An answer was given up while it still came.

    Who asks for the same again would give it up again; what is shorter may
    come through.
    """

    code = 'answer-too-long'


class HistoryGone(TransportError):
    """The store no longer has the changes since a version.

    What has changed since can only be learnt by reading everything anew.
    """

    code = 'history-gone'


class LateAnswer(TransportError):
    """An answer is of the time before the store came back from a copy."""

    code = 'late-answer'


class VersionConflict(TransportError):
    """A conditional write lost: the row has another version by now.

    ``row`` is the row that stands in the way, as the platform sent it.
    """

    code = 'version-conflict'

    def __init__(self, message: str, row: Any = None) -> None:
        super().__init__(message)
        self.row = row


class Unauthenticated(ProtocolError):
    """A request carries no key, or one that nobody has."""

    code = 'unauthenticated'


class CannotListen(TransportError):
    """Another process has a port that this one is to listen on."""

    code = 'cannot-listen'


class UnknownPlan(TransportError):
    """No plan of that id is kept."""

    code = 'unknown-plan'


class BadCursor(ProtocolError):
    """A cursor was not sealed by this fleet, or not for this account."""

    code = 'bad-cursor'


class BadValue(ProtocolError):
    """A header or a field of a message has a value that can't be used."""

    code = 'bad-value'


class BodyTooLarge(ProtocolError):
    """A message is larger than a process takes into its memory."""

    code = 'body-too-large'


class AccountBodiesFull(ProtocolError):
    """The bodies of a client account take all the memory it may have."""

    code = 'account-bodies-full'


class InstanceUnreachable(TransportError):
    """An instance gave no answer to an operator's command."""

    code = 'instance-unreachable'


class InstanceRefused(TransportError):
    """An instance said no to an operator's command; ``reason`` is its code."""

    code = 'instance-refused'

    def __init__(self, reason: str, detail: str) -> None:
        super().__init__(f'{reason}: {detail}')
        self.reason = reason


class CommandError(GreengagelbError):
    """A command can't be carried out as it was written."""

    code = 'bad-command'


class DemoFailed(GreengagelbError):
    """The demonstration did not show what it is meant to show."""

    code = 'demo-failed'


class IntentRefused(CoordinationError):
    """An operator's intent leads to no valid configuration."""

    code = 'intent-refused'


class UnknownName(IntentRefused):
    """An intent names something that the configuration does not have."""

    code = 'unknown-name'


class DuplicateName(IntentRefused):
    """Two parts of a configuration of one kind have the same name."""

    code = 'duplicate-name'


class StoreBehind(TransportError):
    """The store holds an older version than the one in force here.

    It was restored from an old copy; a plan confirmed on it would be refused
    by all instances.
    """

    code = 'store-behind'


class ConfirmUnsettled(TransportError):
    """Nobody can tell now whether a plan is in force; ask for it again."""

    code = 'confirm-unsettled'
