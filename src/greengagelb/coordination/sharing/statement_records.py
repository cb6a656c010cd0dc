"""Texts of the timeline about what engines state, for both interfaces."""

from greengagelb.state import identity
from greengagelb.state import statements

# Each answer to a request that was under way repeats the rest asked for; only
# a deadline that moves by more than this is recorded again.
MIN_RECORDED_SECONDS = 0.5
# An engine's unusable values are recorded at most once in this time.
UNUSABLE_RECORD_SECONDS = 10.0


def describe_answer(request: identity.RequestId | None, status: int) -> str:
    """Return the answer that contains a statement."""
    if request is None:
        return f'an answer to a check, status {status}'
    return f'the answer to {request.request}, status {status}'


def rest_reason(seconds: float, source: str) -> str:
    """Return the reason of an event about a rest."""
    return f'for {seconds:.3f} s, stated in {source}'


def unusable_reason(statement: statements.Statement) -> str:
    """Return the reason of an event about values that can't be used."""
    return f'statement-unusable: {", ".join(statement.unusable)}'
