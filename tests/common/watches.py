"""A watch on a store that a test writes itself."""

import random

from greengagelb.coordination.relay import store_sharing
from greengagelb.state.relay import hints
from greengagelb.transport.relay import store_watch

OWN = hints.Member('own', '5-own', '127.0.0.1', 'north')


def watch_on(source, clock, dispatch=None, record=None):
    """Return a watch that tells nobody what it finds, unless it is given."""
    return store_watch.StoreWatch(
        clock,
        source,
        dispatch or (lambda event: None),
        record or (lambda record: None),
        OWN,
        store_sharing.StoreSharing(OWN.incarnation, random.Random(1)),
        lambda members: None,
    )
