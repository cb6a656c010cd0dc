"""The page of the platform's settings names all of them as they are."""

import dataclasses
import pathlib
import re

from greengagelb import relay_settings

ROOT = pathlib.Path(__file__).parents[2]
PAGE = ROOT / 'docs' / 'settings-platform.md'
TEMPLATE = ROOT / 'src' / 'greengagelb' / 'platform' / 'settings.ini'
ROW = re.compile(r'^\| (?:`(\w+)`)? *\| `(\w+)` \|(.*)\|$', re.MULTILINE)
REQUIRED = 'none, required'


def rows():
    """Return the cells after section and key, by section and key."""
    found = {}
    section = ''
    for named, key, rest in ROW.findall(PAGE.read_text('utf-8')):
        section = named or section
        cells = [cell.strip() for cell in rest.split('|')]
        assert (section, key) not in found
        found[section, key] = cells
    return found


def template_values():
    """Return what the template writes, by section and key."""
    found = {}
    section = ''
    for line in TEMPLATE.read_text('utf-8').splitlines():
        if line.startswith('['):
            section = line.strip('[]')
        elif ' = ' in line:
            key, value = line.split(' = ')
            found[section, key] = value
    return found


def fields():
    """Return the fields of the settings, by section and key."""
    return {
        (section, field.name): field
        for section, (kind, _) in relay_settings.SECTIONS.items()
        for field in dataclasses.fields(kind)
    }


def test_page_names_every_key_and_no_other():
    assert set(rows()) == set(fields())


def test_page_names_each_default():
    """A default is changed in the code only.

    An operator who leaves the key out goes by a value that is not in force.
    """
    for place, field in fields().items():
        default = rows()[place][2]
        if field.default is dataclasses.MISSING:
            assert default == REQUIRED, place
        else:
            assert float(default.strip('`')) == field.default, place


def test_page_names_what_the_template_writes():
    values = template_values()
    for place, (*_, filled) in rows().items():
        value = values.get(place, '')
        assert filled == (f'`{value}`' if value else ''), place


def test_every_key_has_a_parser_and_the_other_way_round():
    for kind, parsers in relay_settings.SECTIONS.values():
        assert {f.name for f in dataclasses.fields(kind)} == set(parsers)
