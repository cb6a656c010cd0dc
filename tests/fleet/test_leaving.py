"""A leaving upstream gets no new work, in any order of messages."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from greengagelb.coordination import events
from greengagelb.coordination.fleet import routing
from greengagelb.state import configuration
from greengagelb.state import identity
from tests.common import configurations

LONG = configuration.Priority.LONG
SOON = 0.01
STARTS = st.sampled_from(['first', 'second', 'third'])
MESSAGES = st.lists(
    st.tuples(st.sampled_from(['report', 'leaving report', 'notice']), STARTS),
    max_size=12,
)


def message_of(kind, start):
    engine = identity.EngineId('engine', start)
    if kind == 'notice':
        return events.UpstreamLeaving(engine, 'peer')
    return events.UpstreamReported(
        engine, 'm', '1', '', 0, 0, 0.01, kind == 'leaving report'
    )


@settings(derandomize=True, deadline=None, max_examples=300)
@given(MESSAGES)
def test_leaving_is_final_for_an_incarnation_in_any_order(messages):
    """Reports and leaving notices arrive out of order.

    A notice may arrive before the first report of its incarnation, and a
    report of an older incarnation after it. A stream that is started on a
    leaving engine would have to be moved shortly after.
    """
    upstream = configurations.upstream('engine', 9000)
    pool = configuration.Pool('drafting', (upstream,), 'm', '1')
    directory = routing.UpstreamDirectory(random.Random(1))
    directory.apply_configuration(
        configuration.Configuration(1, pools=(pool,))
    )
    leaving, reported = set(), None
    for number, (kind, start) in enumerate(messages):
        message = message_of(kind, start)
        now = SOON * number
        if kind == 'notice':
            directory.mark_leaving(message, now)
        else:
            directory.apply_report(message, now)
            reported = start
        if kind != 'report':
            leaving.add(start)
        if reported is not None:
            chosen = directory.choose_upstream(pool, set(), now, LONG)
            assert (chosen is None) == (reported in leaving)
