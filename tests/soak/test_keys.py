"""The soak takes no key away that its callers still show."""

from tests.soak import world


def test_key_stays_until_the_callers_show_a_later_one():
    """Two configurations come within a second, each with another key.

    Callers show a new key only when it must be in force, 2.5 s later. Were the
    key that they show until then taken away by the second configuration, each
    instance would rightly refuse them, and be blamed for it.
    """
    keys = world.next_keys(['first'], shown='first', added='second')
    assert keys == ['first', 'second']
    keys = world.next_keys(keys, shown='first', added='third')
    assert keys == ['first', 'second', 'third']
    keys = world.next_keys(keys, shown='third', added='fourth')
    assert keys == ['third', 'fourth']
