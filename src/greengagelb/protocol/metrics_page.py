"""Parses what is in force on an instance from its metrics page.

The process that answers at an address may not be an instance: missing metrics
and values of the wrong type are errors, and other metrics are ignored.
"""

import re

from greengagelb import errors
from greengagelb.state import in_force

PREFIX = 'greengagelb_'
MAX_LABEL_CHARACTERS = 128
LINE = re.compile(r'^(?P<name>[a-z_]+)(?:\{(?P<labels>.*)\})? (?P<value>\S+)$')
LABEL = re.compile(r'([a-z_]+)="((?:[^"\\]|\\.)*)"')


def parse_page(raw: bytes) -> in_force.InstanceReport:
    """Return the report in a page; raises :class:`errors.ProtocolError`."""
    try:
        text = raw.decode('utf-8')
    except UnicodeDecodeError as exc:
        raise errors.ProtocolError('metrics page is not UTF-8') from exc
    metrics: dict[str, float] = {}
    labels: dict[str, str] = {}
    for line in text.splitlines():
        line_match = LINE.match(line)
        if line_match is None or not line_match['name'].startswith(PREFIX):
            continue
        name = line_match['name'].removeprefix(PREFIX)
        if name == 'instance':
            labels = dict(LABEL.findall(line_match['labels'] or ''))
        elif line_match['labels'] is None:
            metrics[name] = parse_number(name, line_match['value'])
    return in_force.InstanceReport(
        name=require_label(labels, 'name'),
        data_centre=require_label(labels, 'data_centre'),
        release=require_label(labels, 'release'),
        stopping=bool(require_metric(metrics, 'stopping')),
        settings_digest=int(require_metric(metrics, 'settings_digest')),
        settings_seconds=require_metric(metrics, 'settings_age_seconds'),
        configuration_version=int(
            require_metric(metrics, 'configuration_version')
        ),
        engines=int(require_metric(metrics, 'engines')),
        running=int(require_metric(metrics, 'running')),
        store_seconds=metrics.get('store_age_seconds'),
    )


def parse_number(name: str, text: str) -> float:
    """Return the value of a metric."""
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0.0 <= value < 1e18:
        raise errors.BadValue(f'{PREFIX}{name} is not a valid number')
    return value


def require_metric(metrics: dict[str, float], name: str) -> float:
    """Return a required metric."""
    if name not in metrics:
        raise errors.BadValue(f'{PREFIX}{name} is missing')
    return metrics[name]


def require_label(labels: dict[str, str], name: str) -> str:
    """Return a required label of the instance."""
    if name not in labels:
        raise errors.BadValue(f'{PREFIX}instance has no {name}')
    return labels[name][:MAX_LABEL_CHARACTERS]
