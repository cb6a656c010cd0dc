"""Life cycle of an instance, from its start to its planned stop.

An instance takes no request before it has a configuration, and none once it
has begun to end. It begins to end when nothing is in flight, and the process
ends when all that was written is out. A move that is not listed here is a
fault of this program and raises.
"""

import dataclasses
import enum
from typing import Protocol

import automat


class Phase(enum.Enum):
    """Where an instance is in its life."""

    STARTING = 'starting'
    SERVING = 'serving'
    STOPPING = 'stopping'
    FINISHED = 'finished'
    ENDED = 'ended'


ENDING_PHASES = (Phase.STOPPING, Phase.FINISHED, Phase.ENDED)


@dataclasses.dataclass(slots=True)
class Progress:
    """What the machine tells; only its own moves change it."""

    phase: Phase = Phase.STARTING


class Lifecycle(Protocol):
    """What can happen to an instance as a whole."""

    def configuration_applied(self) -> None:
        """A configuration was applied."""

    def stop_requested(self) -> None:
        """The platform asks the instance to stop; asking twice is harmless."""

    def request_accepted(self) -> None:
        """A request is about to be sent on, or to wait for that."""

    def work_finished(self) -> None:
        """Nothing is in flight, and nothing new is taken."""

    def connections_closed(self) -> None:
        """All that was written is out, and nobody can connect any more."""


builder = automat.TypeMachineBuilder(Lifecycle, Progress)
starting = builder.state('starting')
serving = builder.state('serving')
stopping = builder.state('stopping')
finished = builder.state('finished')
ended = builder.state('ended')


@starting.upon(Lifecycle.configuration_applied).to(serving)
def start_serving(machine: Lifecycle, progress: Progress) -> None:
    """Take requests from now on."""
    progress.phase = Phase.SERVING


@starting.upon(Lifecycle.stop_requested).to(stopping)
def stop_before_serving(machine: Lifecycle, progress: Progress) -> None:
    """Take no request any more, though there was none yet."""
    progress.phase = Phase.STOPPING


@serving.upon(Lifecycle.stop_requested).to(stopping)
def start_stopping(machine: Lifecycle, progress: Progress) -> None:
    """Take no new request; what is in flight goes on."""
    progress.phase = Phase.STOPPING


@stopping.upon(Lifecycle.work_finished).to(finished)
def finish_stopping(machine: Lifecycle, progress: Progress) -> None:
    """Take nothing any more, and let the process end once that is told.

    A request that were sent to an engine from now on would be cut with the
    process. Its caller would get no answer, and one that must not repeat could
    not be sent again by anybody.
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
    """Stay where the instance is."""


build_machine = builder.build()


def new_lifecycle(progress: Progress) -> Lifecycle:
    """Return the life cycle of an instance that has just started.

    ``progress`` is kept up to date; reading it costs less than asking the
    machine, and it is read for every token.
    """
    return build_machine(progress)
