"""What a page of metrics tells of an instance and its settings."""

import dataclasses

import greengagelb
from greengagelb import errors
from greengagelb import relay_settings
from tests.common import instance_world


def page_of(instance):
    return instance.metrics_page().body.decode()


def figure(instance, name):
    """Return the value of a metric without labels."""
    [line] = [
        line
        for line in page_of(instance).splitlines()
        if line.startswith(f'greengagelb_{name} ')
    ]
    return float(line.split()[1])


def test_a_page_tells_which_instance_it_is_of():
    """Guards against figures that belong to nobody."""
    instance = instance_world.InstanceWorld().instance
    place = instance.settings.instance
    shown = page_of(instance)
    assert f'name="{place.name}"' in shown
    assert f'data_centre="{place.data_centre}"' in shown
    assert f'release="{greengagelb.__version__}"' in shown


def test_a_reload_changes_the_digest_and_its_age():
    """Guards against changes that nobody can see from outside."""
    world = instance_world.InstanceWorld()
    instance = world.instance
    before = figure(instance, 'settings_digest')
    world.advance(5.0)
    assert figure(instance, 'settings_age_seconds') > 4.9
    stop = relay_settings.StopSettings(grace_seconds=77.0)
    changed = dataclasses.replace(instance.settings, stop=stop)
    instance.reload(lambda: changed)
    assert figure(instance, 'settings_digest') != before
    assert figure(instance, 'settings_age_seconds') == 0.0


def test_refused_settings_change_neither():
    """Guards against a digest of settings that are not in force."""
    world = instance_world.InstanceWorld()
    before = figure(world.instance, 'settings_digest')
    world.advance(2.0)

    def refuse():
        raise errors.SettingsError('bad')

    world.instance.reload(refuse)
    assert figure(world.instance, 'settings_digest') == before
    assert figure(world.instance, 'settings_age_seconds') > 1.9
