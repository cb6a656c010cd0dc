"""A store of confirmations that loses answers and writes late."""

import enum

from greengagelb.coordination.configuration import confirming
from greengagelb.state import configuration
from greengagelb.state import plans


class Weather(enum.Enum):
    """What happens to one request to the store."""

    FAIR = 'fair'
    DOWN = 'down'
    ANSWER_LOST = 'answer lost'
    LATE = 'late'


def plan_of(plan_id, base_version):
    """Return a plan; all plans of one base lead to equal documents."""
    result = configuration.Configuration(version=base_version + 1)
    return plans.Plan(plan_id, base_version, (), (), result)


class ConfirmationStore:
    """The rows, each write conditional, and all winners in their order."""

    def __init__(self):
        self.current = plans.Confirmation(0, '')
        self.past = {}
        self.winners = {}
        self.late = []

    def ask(self, request, weather=Weather.FAIR):
        """Return the answer to a request in this weather."""
        match weather:
            case Weather.DOWN:
                return confirming.StoreUnavailable()
            case Weather.LATE:
                self.late.append(request)
                return confirming.StoreUnavailable()
            case Weather.ANSWER_LOST:
                self.carry_out(request)
                return confirming.StoreUnavailable()
        return self.carry_out(request)

    def carry_out(self, request):
        """Carry out a request."""
        match request:
            case confirming.ReadCurrent():
                return self.current
            case confirming.ReadArchived(version):
                return self.past.get(version)
            case confirming.ArchiveConfirmation(confirmation):
                if confirmation.version in self.past:
                    return confirming.WriteConflict()
                self.past[confirmation.version] = confirmation
            case confirming.ReplaceCurrent(confirmation):
                if confirmation.version != self.current.version + 1:
                    return confirming.WriteConflict()
                self.current = confirmation
                self.winners[confirmation.version] = confirmation.plan_id
        return confirming.Written()

    def run(self, steps):
        """Carry out all steps in fair weather and return their outcome."""
        answer = None
        try:
            while True:
                answer = self.ask(steps.send(answer))
        except StopIteration as done:
            return done.value
