"""The pages name what the code has, all of it and nothing else."""

import ast
import dataclasses
import pathlib
import re

from greengagelb import settings
from greengagelb.protocol import operator_api
from greengagelb.protocol import problems
from greengagelb.transport import metrics
from greengagelb.transport.relay import relay_metrics

ROOT = pathlib.Path(__file__).parents[2]
SOURCES = ROOT / 'src' / 'greengagelb'
RECORDERS = {'Record', 'Explain', 'record', 'timeline'}
# The modules of relayed traffic, which has an operators' page of its own.
RELAY = '*/relay/**/*.py'
KIND = re.compile(r'^[a-z]+(-[a-z]+)*$')


def page(name):
    return (ROOT / 'docs' / name).read_text('utf-8')


def first_cells(text):
    return set(re.findall(r'^\| `([a-z_-]+)`', text, re.MULTILINE))


def kinds_recorded(pattern='**/*.py'):
    """Return what is recorded: the first literal of a call that records.

    A kind that depends on something is assigned to ``kind`` first.
    """
    found = set()
    for path in SOURCES.glob(pattern):
        for node in ast.walk(ast.parse(path.read_text('utf-8'))):
            match node:
                case ast.Call(args=given) if name_of(node) in RECORDERS:
                    found.update(literals(given)[:1])
                case ast.Assign(
                    targets=[ast.Name(id='kind')],
                    value=ast.IfExp(body=yes, orelse=no),
                ):
                    found.update(literals([yes, no]))
    return {kind for kind in found if KIND.match(kind)}


def literals(nodes):
    return [
        node.value
        for node in nodes
        if isinstance(node, ast.Constant) and isinstance(node.value, str)
    ]


def name_of(call):
    match call.func:
        case ast.Name(id=name) | ast.Attribute(attr=name):
            return name
    return ''


def events_on(name):
    text = page(name).partition('## Every kind of event')[2]
    return first_cells(re.split('^## ', text, flags=re.MULTILINE)[0])


def metrics_on(name):
    text = page(name).partition('## Metrics')[2]
    return set(re.findall(r'`(greengagelb_[a-z_]+)', text))


def metrics_of(figures):
    shown = figures.render().decode()
    return set(re.findall(r'^# TYPE (\S+)', shown, re.MULTILINE))


def test_operators_pages_have_a_row_for_each_kind_of_event():
    relayed = kinds_recorded(RELAY)
    assert events_on('OPERATIONS.md') == relayed
    assert events_on('operators.md') == kinds_recorded() - (
        relayed - events_on('operators.md')
    )


def test_operators_pages_have_a_row_for_each_metric():
    own = metrics_of(metrics.Metrics())
    assert metrics_on('operators.md') == own
    relayed = metrics_of(relay_metrics.RelayMetrics())
    assert metrics_on('OPERATIONS.md') - own == relayed - own


def test_operators_page_names_each_setting():
    text = page('operators.md').partition('## Settings')[2]
    named = set(re.findall(r'`([a-z_]+)`', text))
    for kind, _ in settings.SECTIONS.values():
        for field in dataclasses.fields(kind):
            assert field.name in named


def test_interface_page_names_each_code_and_each_intent():
    text = page('api.md')
    for code, status in problems.STATUS_OF_CODE.items():
        assert f'`{code}`' in text
        assert str(status) in text
    for kind in operator_api.INTENTS:
        assert f'`{kind}`' in text


def test_links_between_pages_lead_somewhere():
    for path in [ROOT / 'README.md', *ROOT.glob('docs/**/*.md')]:
        for target in re.findall(r'\]\(([^)#:]+)[^)]*\)', path.read_text()):
            assert (path.parent / target).exists(), (path, target)
