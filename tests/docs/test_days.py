"""Each day file under deploy/days can be played, and says what it is for."""

import pathlib
import tomllib

import pytest

DAYS = pathlib.Path(__file__).parents[2] / 'deploy' / 'days'
FILES = sorted(DAYS.glob('*.toml'))
PURPOSE_LINES = 2
LISTS = ('plan', 'faults')


def read(path):
    return tomllib.loads(path.read_text('utf-8'))


def leading_comments(path):
    lines = path.read_text('utf-8').splitlines()
    first_other = next(
        at for at, line in enumerate(lines) if not line.startswith('# ')
    )
    return lines[:first_other]


def test_there_are_day_files():
    assert FILES


@pytest.mark.parametrize('path', FILES, ids=lambda path: path.stem)
def test_purpose_stands_in_two_comment_lines(path):
    assert len(leading_comments(path)) == PURPOSE_LINES


@pytest.mark.parametrize('path', FILES, ids=lambda path: path.stem)
def test_file_holds_one_day_of_its_own_name(path):
    """A day is copied to a new file and its name is left as it was.

    A report of that day would then be looked for in the wrong file.
    """
    (day,) = read(path)['day']
    assert day['name'] == path.stem


@pytest.mark.parametrize('path', FILES, ids=lambda path: path.stem)
def test_each_disturbance_has_a_kind_and_a_moment(path):
    """Somebody forgets the moment of an entry, or names a list otherwise.

    The day would be played without what it is for, and pass.
    """
    (day,) = read(path)['day']
    entries = [entry for name in LISTS for entry in day.get(name, ())]
    assert entries
    assert all(entry['kind'] and entry['at'] >= 0 for entry in entries)
    extra_lists = {name for name in day if isinstance(day[name], list)}
    assert extra_lists <= set(LISTS)
