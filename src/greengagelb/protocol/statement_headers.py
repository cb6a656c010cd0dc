"""Headers of an answer in which an engine states something about itself."""

from collections.abc import Sequence
import re

from greengagelb.state import statements

# Set to 1 by an engine that is about to end, in this product's own interface.
LEAVING_HEADER = b'X-Leaving'
# The standard header, in both interfaces: the seconds for which an engine that
# turns a request away wants no others from the instance that it answers.
REST_HEADER = b'Retry-After'
LEAVING_VALUE = b'1'
# Set by an engine that fails if it has to turn away more than this many
# requests in a second, in this product's own interface.
REFUSAL_RATE_HEADER = b'X-Refusal-Rate'
# An engine asks for rest only where it turns a request away.
REST_STATUS = 503
# The number of digits is limited so that no value is infinite.
SECONDS = re.compile(rb'\d{1,9}(\.\d{0,9})?')
# An unusable value is truncated to this length, and only the first ones are
# kept.
MAX_TEXT_CHARACTERS = 40
MAX_UNUSABLE_VALUES = 2


def parse_statement(
    status: int,
    leaving: Sequence[bytes],
    rest: Sequence[bytes],
    refusal_rates: Sequence[bytes] = (),
) -> statements.Statement:
    """Return what the values of the headers state.

    Of several rests the longest counts, and of several refusal rates the
    lowest, as the engine may mean it. Values that differ are reported as
    unusable besides.
    """
    if not (leaving or rest or refusal_rates):
        return statements.NO_STATEMENT
    flags = [value.strip() for value in leaving]
    unusable = [value for value in flags if value != LEAVING_VALUE]
    seconds = 0.0
    if status == REST_STATUS:
        values = [value.strip() for value in rest]
        usable = [value for value in values if SECONDS.fullmatch(value)]
        unusable += (
            values
            if len(set(values)) > 1
            else [value for value in values if value not in usable]
        )
        seconds = max(map(float, usable), default=0.0)
    rates = [value.strip() for value in refusal_rates]
    usable_rates = [value for value in rates if SECONDS.fullmatch(value)]
    unusable += (
        rates
        if len(set(rates)) > 1
        else [value for value in rates if value not in usable_rates]
    )
    return statements.Statement(
        LEAVING_VALUE in flags,
        seconds,
        min(map(float, usable_rates), default=None),
        tuple(map(shorten, unusable[:MAX_UNUSABLE_VALUES])),
    )


def shorten(value: bytes) -> str:
    """Return an unusable value as text for the log."""
    return repr(value.decode('latin-1')[:MAX_TEXT_CHARACTERS])
