"""Plans describe their effect; intents that can't be served are refused."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from greengagelb import errors
from greengagelb.coordination.configuration import plans
from greengagelb.coordination.configuration import validation
from greengagelb.protocol import operator_api
from greengagelb.state import configuration
from greengagelb.state import plans as plan_state
from tests.common import configurations

UPSTREAMS = st.sampled_from(['old-0', 'old-1', 'new-0', 'nobody'])
POOLS = st.sampled_from(['drafting', 'digesting', 'nowhere', ''])
VERSIONS = st.sampled_from(['1', '2', '3'])
INTENTS = st.one_of(
    st.builds(plan_state.DrainUpstream, UPSTREAMS),
    st.builds(plan_state.ReturnUpstream, UPSTREAMS),
    st.builds(plan_state.ChangeRole, UPSTREAMS, st.just('prefill')),
    st.builds(
        plan_state.MoveUpstream, UPSTREAMS, POOLS, st.sampled_from(['', 'x'])
    ),
    st.builds(plan_state.ChangeModel, POOLS, st.just('m'), VERSIONS),
    st.builds(
        plan_state.PutPool,
        st.builds(
            configuration.Pool,
            POOLS,
            st.just((configurations.upstream('old-0', 9000),)),
        ),
    ),
    st.builds(
        plan_state.PutAccount,
        st.builds(
            configuration.ClientAccount,
            st.sampled_from(['teratak', 'new']),
            st.sampled_from(['a', 'b', 'c']),
            st.just(('draft',)),
        ),
    ),
)


def plan_of(intent, current=None, running=None):
    current = current or configurations.two_pools()
    return plans.make_plan('p', intent, current, running)


def place_counts(plan, pool):
    found = {(c.pool, c.account): c for c in plan.capacity}[(pool, '')]
    return found.before, found.during, found.after


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.lists(INTENTS, max_size=5))
def test_any_row_of_intents_leads_to_valid_configurations_or_is_refused(rows):
    current = configurations.two_pools()
    for intent in rows:
        try:
            plan = plan_of(intent, current)
        except errors.IntentRefused:
            continue
        validation.check_configuration(plan.result)
        assert plan.base_version == current.version
        assert plan.result.version == current.version + 1
        assert plan.result.confirmed_by == plan.plan_id
        assert plan.steps
        assert plan.cut == 0
        for places in plan.capacity:
            assert 0 <= places.during <= max(places.before, places.after)
        current = plan.result


def test_drain_reports_remaining_capacity_and_running_requests():
    plan = plan_of(
        plan_state.DrainUpstream('old-1'), running={'old-1': 5, 'old-2': 9}
    )
    assert place_counts(plan, 'drafting') == (32, 24, 24)
    assert place_counts(plan, 'digesting') == (16, 16, 16)
    assert plan.moved == 5
    shares = {c.account: c.after for c in plan.capacity[:3]}
    assert shares == {'': 24, 'teratak': 18, 'karri': 6}


def test_drain_of_the_last_upstream_is_warned_of():
    first = plan_of(plan_state.DrainUpstream('new-0')).result
    plan = plan_of(plan_state.DrainUpstream('new-1'), first)
    assert 'pool digesting keeps no upstream' in plan.warnings


def test_rollout_keeps_most_engines_and_says_who_needs_the_old_version():
    plan = plan_of(
        plan_state.ChangeModel('drafting', 'm', '3'), running={'old-0': 2}
    )
    assert place_counts(plan, 'drafting') == (32, 24, 32)
    assert any('still need version 1' in text for text in plan.warnings)
    assert plan.estimated_seconds > 4 * plans.DRAIN_SECONDS


def test_move_changes_both_pools():
    plan = plan_of(
        plan_state.MoveUpstream('old-0', 'digesting', 'kl-2'),
    )
    assert place_counts(plan, 'drafting')[2] == 24
    assert place_counts(plan, 'digesting') == (16, 16, 24)
    moved = plan.result.find_pool('digesting').upstreams[-1]
    assert (moved.name, moved.data_centre) == ('old-0', 'kl-2')
    assert 'load m 2 on old-0' in plan.steps


@pytest.mark.parametrize(
    ('intent', 'error'),
    [
        (plan_state.DrainUpstream('nobody'), errors.UnknownName),
        (plan_state.MoveUpstream('old-0', 'nowhere'), errors.UnknownName),
        (
            plan_state.PutService(
                configuration.Service(
                    's', configuration.ServiceKind.CALL, 'nowhere'
                )
            ),
            errors.UnknownName,
        ),
        (
            plan_state.PutAccount(configuration.ClientAccount('n', 'a', ())),
            errors.DuplicateName,
        ),
        (
            plan_state.PutPool(
                configuration.Pool('p', (configurations.upstream('old-0', 1),))
            ),
            errors.DuplicateName,
        ),
    ],
)
def test_wrong_intent_is_refused_with_a_code(intent, error):
    with pytest.raises(error):
        plan_of(intent)


def test_misspelt_attribute_of_an_intent_is_refused():
    """An operator writes "adaptor" in a change of model.

    If unknown attributes were ignored, the pool would lose its adapter.
    """
    raw = (
        b'{"type": "change-model", "pool": "p", "model": "m",'
        b' "version": "1", "adaptor": "a"}'
    )
    with pytest.raises(errors.ProtocolError, match='adaptor'):
        operator_api.decode_intent(raw)
