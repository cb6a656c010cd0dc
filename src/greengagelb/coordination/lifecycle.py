"""State machine of an instance, from its start to its planned stop.

An instance accepts no request before it has a configuration, and none once it
is finished. It finishes when nothing is in flight any more, and the process
ends when all output is written. Any other transition is a bug and raises
``automat.NoTransition``.
"""

import dataclasses
import enum
from typing import Protocol

import automat


class Phase(enum.Enum):
    """The phases of an instance's life cycle."""

    STARTING = 'starting'
    SERVING = 'serving'
    STOPPING = 'stopping'
    FINISHED = 'finished'
    ENDED = 'ended'


ENDING_PHASES = (Phase.STOPPING, Phase.FINISHED, Phase.ENDED)


@dataclasses.dataclass(slots=True)
class Progress:
    """The current phase; only transitions of the machine change it."""

    phase: Phase = Phase.STARTING


class Lifecycle(Protocol):
    """The inputs of an instance's life cycle."""

    def configuration_applied(self) -> None:
        """A configuration was applied."""

    def stop_requested(self) -> None:
        """The platform requests a stop; repeating that has no effect."""

    def request_accepted(self) -> None:
        """A request is about to be forwarded or queued."""

    def work_finished(self) -> None:
        """Nothing is in flight, and no new request is accepted."""

    def connections_closed(self) -> None:
        """All output is written, and no new connection is possible."""


builder = automat.TypeMachineBuilder(Lifecycle, Progress)
starting = builder.state('starting')
serving = builder.state('serving')
stopping = builder.state('stopping')
finished = builder.state('finished')
ended = builder.state('ended')


@starting.upon(Lifecycle.configuration_applied).to(serving)
def start_serving(machine: Lifecycle, progress: Progress) -> None:
    """Accept requests from now on."""
    progress.phase = Phase.SERVING


@starting.upon(Lifecycle.stop_requested).to(stopping)
def stop_before_serving(machine: Lifecycle, progress: Progress) -> None:
    """Stop before any request was accepted."""
    progress.phase = Phase.STOPPING


@serving.upon(Lifecycle.stop_requested).to(stopping)
def start_stopping(machine: Lifecycle, progress: Progress) -> None:
    """Begin a planned stop; requests in flight continue."""
    progress.phase = Phase.STOPPING


@stopping.upon(Lifecycle.work_finished).to(finished)
def finish_stopping(machine: Lifecycle, progress: Progress) -> None:
    """Accept no request any more; the process may end after that.

    A request sent to an engine from now on would be cut off when the process
    ends. Its caller would get no answer, and a non-idempotent one could never
    be sent again.
    """
    progress.phase = Phase.FINISHED


@finished.upon(Lifecycle.connections_closed).to(ended)
def end_process(machine: Lifecycle, progress: Progress) -> None:
    """End the process."""
    progress.phase = Phase.ENDED


@serving.upon(Lifecycle.configuration_applied).loop()
@serving.upon(Lifecycle.request_accepted).loop()
@stopping.upon(Lifecycle.request_accepted).loop()
@stopping.upon(Lifecycle.configuration_applied).loop()
@finished.upon(Lifecycle.configuration_applied).loop()
@ended.upon(Lifecycle.configuration_applied).loop()
@stopping.upon(Lifecycle.stop_requested).loop()
@finished.upon(Lifecycle.stop_requested).loop()
@ended.upon(Lifecycle.stop_requested).loop()
def change_nothing(machine: Lifecycle, progress: Progress) -> None:
    """Keep the phase."""


build_machine = builder.build()


def new_lifecycle(progress: Progress) -> Lifecycle:
    """Return the life cycle of an instance that has just started.

    The machine keeps ``progress`` up to date. It is read for every token, and
    reading it is cheaper than querying the machine.
    """
    return build_machine(progress)
