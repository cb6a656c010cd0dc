"""Which value of an engine's limit counts, in whatever order it is heard."""

import itertools

from hypothesis import given
from hypothesis import strategies

from greengagelb.coordination.sharing import limit_book
from greengagelb.state import limits

LIFE = 'engine 1'

news = strategies.builds(
    limits.LimitNews,
    strategies.sampled_from([LIFE, 'engine 2']),
    strategies.sampled_from([None, 0.0, 0.5, 2.1, 200.0]),
    strategies.integers(1, 4),
)


@given(strategies.lists(news, max_size=5))
def test_all_come_to_the_same_value_in_any_order(told):
    """Guards against late and reordered news of an older value."""
    found = set()
    for order in itertools.permutations(told):
        book = limit_book.LimitBook()
        for one in order:
            book.told(one, 100.0)
        found.add(tuple(sorted(book.in_force().items())))
        if len(order) > 3 and len(found) > 1:
            break
    assert len(found) == 1


def test_an_answer_that_was_made_before_changes_nothing():
    """Guards against a limit that a late answer lifts or falls back."""
    book = limit_book.LimitBook()
    book.named(LIFE, 2.0, 99.0, 100.0)
    assert book.named(LIFE, None, 99.5, 100.5) is None
    assert book.named(LIFE, 4.0, 100.0, 100.5) is None
    assert book.rate(LIFE) == 2.0
    assert book.named(LIFE, 4.0, 100.2, 100.5).version == 2
    assert book.named(LIFE, None, 100.6, 101.0).rate is None
    assert book.rate(LIFE) is None


def test_a_limit_that_changes_with_each_answer_is_not_told_each_time():
    """Guards against an engine that floods the fleet with news."""
    book = limit_book.LimitBook()
    told = [
        book.named(LIFE, 1.0 + n % 7, 100.0 + n / 1000, 100.0 + n / 1000)
        for n in range(1, 1000)
    ]
    assert sum(one is not None for one in told) <= 10


def test_many_thousand_engines_with_limits_are_bounded():
    """Guards against memory that engines use up by what they name."""
    book = limit_book.LimitBook()
    for number in range(10_000):
        book.named(f'engine {number}', 2.0, 100.0, 100.0 + number)
    assert len(book.known) == limit_book.MOST_LIVES
    assert book.rate('engine 9999') == 2.0


def test_a_lifted_limit_is_forgotten_after_a_while():
    """Guards against memory of limits that are long over."""
    book = limit_book.LimitBook()
    book.named(LIFE, 2.0, 99.0, 100.0)
    book.named(LIFE, None, 100.5, 101.0)
    assert book.reports() == [limits.LimitNews(LIFE, None, 2)]
    book.named('engine 2', 2.0, 200.0, 201.0)
    assert LIFE not in book.known


def test_a_digest_differs_where_limits_do():
    """Guards against differences that heartbeats don't show."""
    one, other = limit_book.LimitBook(), limit_book.LimitBook()
    assert one.digest() == other.digest()
    one.named(LIFE, 2.0, 99.0, 100.0)
    assert one.digest() != other.digest()
    for told in one.reports():
        other.told(told, 100.0)
    assert one.digest() == other.digest()
