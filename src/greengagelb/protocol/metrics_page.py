"""Reads what is in force from an instance's page of metrics.

Whoever answers at an address may send anything: what is missing or of another
kind is an error, and the rest of the page is not looked at.
"""

import re

from greengagelb import errors
from greengagelb.state import in_force

PREFIX = 'greengagelb_'
MOST_LABEL_CHARACTERS = 128
LINE = re.compile(r'^(?P<name>[a-z_]+)(?:\{(?P<labels>.*)\})? (?P<value>\S+)$')
LABEL = re.compile(r'([a-z_]+)="((?:[^"\\]|\\.)*)"')


def read(raw: bytes) -> in_force.InForce:
    """Return what a page says; raise :class:`errors.ProtocolError` if not."""
    try:
        text = raw.decode('utf-8')
    except UnicodeDecodeError as exc:
        raise errors.ProtocolError('not UTF-8') from exc
    figures: dict[str, float] = {}
    labels: dict[str, str] = {}
    for line in text.splitlines():
        found = LINE.match(line)
        if found is None or not found['name'].startswith(PREFIX):
            continue
        name = found['name'].removeprefix(PREFIX)
        if name == 'instance':
            labels = dict(LABEL.findall(found['labels'] or ''))
        elif found['labels'] is None:
            figures[name] = number(name, found['value'])
    return in_force.InForce(
        name=label(labels, 'name'),
        data_centre=label(labels, 'data_centre'),
        release=label(labels, 'release'),
        stopping=bool(figure(figures, 'stopping')),
        settings_digest=int(figure(figures, 'settings_digest')),
        settings_seconds=figure(figures, 'settings_age_seconds'),
        configuration_version=int(figure(figures, 'configuration_version')),
        engines=int(figure(figures, 'engines')),
        running=int(figure(figures, 'running')),
        store_seconds=figures.get('store_age_seconds'),
    )


def number(name: str, text: str) -> float:
    """Return the value of a metric."""
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0.0 <= value < 1e18:
        raise errors.BadValue(f'{PREFIX}{name} is no number from 0 on')
    return value


def figure(figures: dict[str, float], name: str) -> float:
    """Return a metric that has to be there."""
    if name not in figures:
        raise errors.BadValue(f'{PREFIX}{name} is missing')
    return figures[name]


def label(labels: dict[str, str], name: str) -> str:
    """Return a label of the instance that has to be there."""
    if name not in labels:
        raise errors.BadValue(f'{PREFIX}instance has no {name}')
    return labels[name][:MOST_LABEL_CHARACTERS]
