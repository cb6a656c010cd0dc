"""Header of an answer that advertises an engine's request limit."""

from collections.abc import Sequence
import re

from greengagelb.state import limits

# Headers of this product's own engine interface: the requests per second that
# an upstream accepts from all instances together, and its incarnation.
LIMIT_HEADER = 'X-Request-Limit'
INCARNATION_HEADER = 'X-Incarnation'

# The number of digits is limited so that no value is infinite.
DECIMAL = re.compile(rb'\d{1,9}(\.\d{0,9})?')
# An invalid value is truncated to this length for the log.
MAX_TEXT_CHARACTERS = 40


def parse_limit(values: Sequence[bytes]) -> limits.AdvertisedLimit:
    """Return the limit in the values of the header; None without any value.

    Several values are invalid, as it is ambiguous which one applies.
    """
    if not values:
        return None
    if len(values) == 1 and DECIMAL.fullmatch(values[0].strip()):
        return float(values[0])
    text = b', '.join(values)[:MAX_TEXT_CHARACTERS]
    return limits.UnusableLimit(text.decode('latin-1'))
