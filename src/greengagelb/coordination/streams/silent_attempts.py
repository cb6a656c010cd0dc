"""Keeps attempts that are silent, which does not prove that they are lost.

An engine, the network, or several engines at once may stand still and go on. A
silent attempt is asked for over a new connection, then another one is started
beside it, and the first to give the next token goes on. Both are open for a
bounded time, whatever is known of their engines; then one of them is ended.
Where no other may be started, the silent one is kept until the deadline of its
request.
"""

from greengagelb.coordination import actions
from greengagelb.coordination.streams import attempts
from greengagelb.coordination.streams import recovery
from greengagelb.coordination.streams import stalls
from greengagelb.state import attempts as attempt_state
from greengagelb.state import streams as stream_state

# The connection to a silent attempt may itself have been lost in silence.
SILENT_ATTACH_INTERVAL_SECONDS = 3.0
# The time from a spare that was not answered to the next one, doubled with
# each of them: it can be long until any engine answers, and each spare takes
# one of the account's resumes.
VAIN_SPARE_SECONDS = 2.0
MAX_VAIN_SPARE_SECONDS = 16.0


class SilentAttempts:
    """Looks for other attempts beside those that are silent.

    The stall timer of a silent attempt goes on, as the pace of further tries.
    """

    def __init__(
        self,
        stream_recovery: recovery.StreamRecovery,
        stall_detector: stalls.StallDetector,
    ) -> None:
        self.stream_recovery = stream_recovery
        self.stall_detector = stall_detector
        self.directory = stream_recovery.directory
        self.attempt_table = stream_recovery.attempt_table

    def handle_silence(
        self,
        stream: stream_state.Stream,
        attempt: attempt_state.Attempt,
        now: float,
        reason: str,
    ) -> list[actions.Action]:
        """Ask for a silent attempt again, and start another beside it."""
        stream.may_have_run = True
        if self.may_attach(stream, attempt, now):
            return self.attach_again(stream, attempt, now, reason)
        if stream.is_complete:
            # Only the end event is missing.
            return self.stream_recovery.replace_attempt(
                stream, attempt, now, reason
            )
        planned = self.note_silence(stream, attempt, now, reason)
        if attempt is stream.spare:
            return planned + self.replace_spare(stream, attempt, now, reason)
        planned.append(
            self.stall_detector.reset_stall_timer(stream, attempt, now)
        )
        return planned + self.stream_recovery.start_second_attempt(stream, now)

    def may_attach(
        self,
        stream: stream_state.Stream,
        attempt: attempt_state.Attempt,
        now: float,
    ) -> bool:
        """Return whether a new connection may bring an attempt's tokens."""
        if attempt is stream.spare:
            return False
        if attempt.suspected and not attempt.silent:
            return False
        interval = recovery.MIN_ATTACH_INTERVAL_SECONDS
        if attempt.suspected and not attempt.unreachable:
            interval = SILENT_ATTACH_INTERVAL_SECONDS
        if now - attempt.attached_at < interval:
            return False
        return not self.directory.is_resting(attempt.upstream.name, now)

    def attach_again(
        self,
        stream: stream_state.Stream,
        attempt: attempt_state.Attempt,
        now: float,
        reason: str,
    ) -> list[actions.Action]:
        """Ask for an attempt over a new connection."""
        planned = [
            attempts.record(stream, attempt, 'attempt-suspected', reason)
        ]
        planned += self.attempt_table.attach_attempt(stream, attempt, now)
        if attempt.silent:
            return planned + self.look_again(stream, now)
        return planned + self.stream_recovery.start_spare(stream, now)

    def note_silence(
        self,
        stream: stream_state.Stream,
        attempt: attempt_state.Attempt,
        now: float,
        reason: str,
    ) -> list[actions.Action]:
        """Note that an attempt is silent, once for each silence."""
        if attempt.silent:
            stream.excluded.clear()
            return []
        attempt.silent = True
        stream.silences += 1
        self.directory.mark_suspected(attempt.upstream.name, now)
        return [attempts.record(stream, attempt, 'attempt-silent', reason)]

    def look_again(
        self, stream: stream_state.Stream, now: float
    ) -> list[actions.Action]:
        """Look for an engine again, including those that refused."""
        stream.excluded.clear()
        return self.stream_recovery.start_second_attempt(stream, now)

    def handle_overlap_timer(
        self, stream: stream_state.Stream, now: float
    ) -> list[actions.Action]:
        """End one of two attempts that have overlapped for too long."""
        first, spare = stream.attempt, stream.spare
        if first is None or spare is None:
            return []
        timer = self.stall_detector.check_overlap(stream, now)
        if timer is not None:
            return [timer]
        if is_first_kept(first, spare):
            return self.end_spare(stream, spare, now)
        planned: list[actions.Action] = []
        if not first.silent:
            planned = self.note_silence(stream, first, now, 'no progress')
        return planned + self.stream_recovery.replace_attempt(
            stream, first, now, 'the engine of another attempt answers'
        )

    def end_spare(
        self,
        stream: stream_state.Stream,
        spare: attempt_state.Attempt,
        now: float,
    ) -> list[actions.Action]:
        """End a spare; if it was not answered, wait before the next one."""
        reason = 'the engine of the first attempt answers'
        if not spare.answered:
            reason = 'no answer'
            self.directory.mark_suspected(spare.upstream.name, now)
            seconds = VAIN_SPARE_SECONDS * 2.0**stream.vain_spares
            stream.next_spare_at = now + min(seconds, MAX_VAIN_SPARE_SECONDS)
            stream.vain_spares += 1
        return [
            attempts.record(stream, spare, 'attempt-replaced', reason),
            *self.attempt_table.cancel_spare(stream),
        ]

    def replace_spare(
        self,
        stream: stream_state.Stream,
        spare: attempt_state.Attempt,
        now: float,
        reason: str,
    ) -> list[actions.Action]:
        """Replace a silent spare, which has given nothing yet, or keep it."""
        view = self.stream_recovery.choose_for_second_attempt(stream, now)
        if view is None:
            return [self.stall_detector.reset_stall_timer(stream, spare, now)]
        return [
            attempts.record(stream, spare, 'attempt-replaced', reason),
            *self.attempt_table.cancel_attempt(stream, spare),
            *self.attempt_table.start_attempt(stream, view, now, spare=True),
        ]


def is_first_kept(
    first: attempt_state.Attempt, spare: attempt_state.Attempt
) -> bool:
    """Return whether the first of two attempts without tokens goes on.

    Engines answer an attempt at once, before they read its prompt. If neither
    has answered, both may make the same pause, and the first attempt has come
    further. An engine that still has the first attempt keeps it for as long
    as it usually takes to the next token.
    """
    if not spare.answered:
        return True
    return first.suspected and first.answered and not first.silent
