"""A caller may only lower the priority of its own requests."""

import pytest

from greengagelb.coordination.sharing import arrivals
from greengagelb.state import configuration
from tests.common import caller_sites

Priority = configuration.Priority


@pytest.mark.parametrize(
    ('own', 'asked', 'served'),
    [
        (Priority.LONG, b'short', Priority.LONG),
        (Priority.LONG, b'long', Priority.LONG),
        (Priority.SHORT, b'short', Priority.SHORT),
        (Priority.SHORT, b'long', Priority.LONG),
    ],
)
def test_priority_asked_for_is_never_above_the_services_own(
    own, asked, served
):
    site = caller_sites.CallerSite()
    line = b'X-Priority: ' + asked
    site.connect().send(
        caller_sites.request('/v1/chat/completions', None, line)
    )
    service = configuration.Service(
        'draft', configuration.ServiceKind.GENERATION, 'p', priority=own
    )
    current = configuration.Configuration(services=(service,))
    request = site.events[0].request
    assert arrivals.resolve_service(current, request).priority is served
