"""What a changed settings file does to a running process."""

import hypothesis
from hypothesis import given
from hypothesis import strategies as st
import pytest

from greengagelb import relay_settings
from greengagelb import settings
from greengagelb import settings_changes
from greengagelb.state.relay import bounds
from greengagelb.state.relay import engines

Effect = settings_changes.Effect
SECONDS = st.sampled_from([1.0, 2.0, 8.0])
ADDRESSES = st.builds(
    engines.Address,
    st.sampled_from(['127.0.0.1', '127.0.0.2']),
    st.sampled_from([4000, 4001]),
)
SETTINGS = st.builds(
    relay_settings.RelaySettings,
    st.builds(
        relay_settings.InstanceSettings,
        st.sampled_from(['a', 'b']),
        st.sampled_from(['north', 'south']),
        ADDRESSES,
        st.just(engines.Address('127.0.0.3', 5000)),
        st.just(6000),
        st.just(7000),
    ),
    st.builds(relay_settings.StoreSettings, ADDRESSES),
    st.builds(bounds.RetryBounds, SECONDS, SECONDS, SECONDS),
    st.builds(relay_settings.StopSettings, SECONDS),
    st.builds(bounds.EngineBounds, SECONDS, SECONDS),
)


@pytest.mark.parametrize(
    ('sections', 'effects'),
    [
        (relay_settings.SECTIONS, settings_changes.RELAY_EFFECTS),
        (settings.SECTIONS, settings_changes.SERVE_EFFECTS),
    ],
)
def test_each_section_has_an_effect(sections, effects):
    """Guards against a new section of which nobody says when it counts."""
    assert set(sections) == set(effects)


@hypothesis.settings(derandomize=True, deadline=None)
@given(SETTINGS, SETTINGS)
def test_a_reload_does_what_the_comparison_says(old, new):
    """Guards against a command that promises what a reload does not do."""
    effects = settings_changes.RELAY_EFFECTS
    changes = settings_changes.changes_between(old, new, effects)
    after = settings_changes.reloaded(old, new, effects)
    taken = settings_changes.changes_between(old, after, effects)
    assert taken == [c for c in changes if c.effect is Effect.RELOAD]
    left = settings_changes.changes_between(after, new, effects)
    assert left == [c for c in changes if c.effect is Effect.START]


@hypothesis.settings(derandomize=True, deadline=None)
@given(SETTINGS, SETTINGS)
def test_the_line_of_a_reload_names_each_change(old, new):
    """Guards against a log that says only that something was applied."""
    effects = settings_changes.RELAY_EFFECTS
    changes = settings_changes.changes_between(old, new, effects)
    line = settings_changes.summary(changes)
    assert all(str(change) in line for change in changes)
    assert ('needs a new start' in line) == (old.instance != new.instance)
    if not changes:
        assert old == new
        assert line == 'nothing differs'


@hypothesis.settings(derandomize=True, deadline=None)
@given(SETTINGS, SETTINGS)
def test_settings_that_a_fleet_shares_have_one_digest(one, other):
    """Guards against instances that seem to differ, or to agree."""
    effects = settings_changes.RELAY_EFFECTS
    same = settings_changes.digest(one, effects) == settings_changes.digest(
        other, effects
    )
    shared = ('store', 'retries', 'stop', 'engines')
    assert same == all(getattr(one, s) == getattr(other, s) for s in shared)


def test_a_list_of_addresses_is_shown_as_it_is_written():
    """Guards against a report that nobody can compare with the file."""
    effect = settings_changes.SERVE_EFFECTS['peers']
    addresses = settings.parse_addresses('127.0.0.1:1, 127.0.0.2:2')
    shown = settings_changes.shown(addresses, effect)
    assert shown == '127.0.0.1:1, 127.0.0.2:2'
