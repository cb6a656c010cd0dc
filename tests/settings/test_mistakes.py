"""Every mistake in a settings file is told with what to write instead."""

import dataclasses
import hashlib

import pytest

from greengagelb import errors
from greengagelb import settings
from tests.common import settings_files

GOOD = settings_files.GOOD


def read(tmp_path, text, encoding='utf-8'):
    path = tmp_path / 'a.ini'
    path.write_text(text, encoding=encoding)
    return settings.read_settings(path)


def complaint(tmp_path, text, encoding='utf-8'):
    with pytest.raises(errors.SettingsError) as found:
        read(tmp_path, text, encoding)
    told = str(found.value)
    assert told.startswith(f'{tmp_path}/a.ini: ')
    assert '\n' not in told
    return told.removeprefix(f'{tmp_path}/a.ini: ')


def test_good_settings_are_read_whole(tmp_path):
    found = read(tmp_path, GOOD)
    assert found.instance.peer_port == 3
    assert found.platform.timeout_seconds == 2.0


def test_byte_order_mark_is_skipped(tmp_path):
    assert read(tmp_path, GOOD, 'utf-8-sig') == read(tmp_path, GOOD)


@pytest.mark.parametrize(
    ('old', 'new', 'told'),
    [
        ('name = a', 'name = a b', '[instance] name: write a name without'),
        ('name = a', 'name =', '[instance] name: write a name without'),
        ('name = a', 'name = ' + 'a' * 65, '[instance] name: write at most'),
        ('name = a', 'nmae = a', '[instance] nmae: unknown key; write one of'),
        ('name = a', 'Name = a', '[instance] Name: unknown key; write one of'),
        ('name = a\n', '', '[instance] name: missing; write it'),
        ('name = a', 'name = a\nname = b', 'line 3: [instance] name: stands'),
        ('name = a', 'name', 'line 2: write "key = value"'),
        ('[instance]', '[instnce]', 'unknown section [instnce]; write one of'),
        ('[instance]', '[DEFAULT]', 'unknown section [DEFAULT]; write one of'),
        ('[instance]\n', '', 'line 1: write a section such as [instance]'),
        ('[platform]', '[instance]', 'line 9: [instance] stands twice'),
        ('host = 127', 'host = x127', '[instance] host: write an IP number'),
        (
            'host = 127.0.0.1\nc',
            'host = 0.0.0.0\nc',
            '[instance] host: write the IP number that others reach',
        ),
        ('port = 4', 'port = 0', '[platform] port: write a port number'),
        ('port = 4', 'port = 65536', '[platform] port: write a port number'),
        ('port = 4', 'port = \u0664', '[platform] port: write a port number'),
        ('port = 4', 'port = 2', '[platform] port: write the port of the pla'),
        (
            'operator_port = 2',
            'operator_port = 1',
            '[instance] caller_port, operator_port, peer_port: write three',
        ),
        (
            'port = 4',
            'port = 4\ntimeout_seconds = nan',
            '[platform] timeout_seconds: write seconds above 0',
        ),
        (
            'peer_port = 3',
            'peer_port = 3\ntimeline_events = 1e3',
            '[instance] timeline_events: write a whole number',
        ),
        (
            'peer_port = 3',
            'peer_port = 3\ntimeline_events = ' + '9' * 5000,
            '[instance] timeline_events: write a whole number',
        ),
        (
            '[secrets]',
            '[peers]\naddresses = host:1\n[secrets]',
            '[peers] addresses: write an IP number',
        ),
        (
            '0123456789abcdef',
            'short',
            '[secrets] cursor_secret: write 16 characters or more',
        ),
        (
            'a' * 64,
            'A' * 64,
            '[secrets] operator_key_digest: write the SHA-256 of the key',
        ),
        (
            'a' * 64,
            hashlib.sha256(b'').hexdigest(),
            '[secrets] operator_key_digest: write the SHA-256 of a key that',
        ),
    ],
)
def test_mistake_names_section_and_key_and_what_to_write(
    tmp_path, old, new, told
):
    assert old in GOOD
    text = GOOD.replace(old, new, 1)
    assert complaint(tmp_path, text).startswith(told)


def test_file_in_another_encoding_is_refused(tmp_path):
    text = GOOD.replace('name = a', 'name = \xe9')
    assert complaint(tmp_path, text, 'latin-1').startswith('not UTF-8; write')


def test_missing_file_is_refused(tmp_path):
    with pytest.raises(errors.SettingsError, match='readable file'):
        settings.read_settings(tmp_path / 'none.ini')


def test_every_key_has_a_parser_and_the_other_way_round():
    for kind, parsers in settings.SECTIONS.values():
        names = {field.name for field in dataclasses.fields(kind)}
        assert names == set(parsers)
    names = {field.name for field in dataclasses.fields(settings.Settings)}
    assert names == set(settings.SECTIONS)


def test_contradiction_is_refused_wherever_settings_are_made():
    with pytest.raises(ValueError, match='three different ports'):
        settings.InstanceSettings('a', 'x', '127.0.0.1', 1, 1, 2)
