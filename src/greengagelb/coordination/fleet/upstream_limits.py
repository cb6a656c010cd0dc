"""The limits of upstreams, by the product's own interface."""

import dataclasses

from greengagelb.coordination import actions
from greengagelb.coordination.sharing import limit_book
from greengagelb.state import limits


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """An upstream's answer to a request that was sent at ``asked_at``."""

    upstream: str
    asked_at: float
    said: limits.Said


class UpstreamLimits:
    """Which upstreams have named a limit in the life that they are in.

    ``lives`` are those of which a limit is known, by the upstream's name.
    """

    def __init__(self) -> None:
        self.book = limit_book.LimitBook()
        self.lives: dict[str, str] = {}

    def rate(self, name: str) -> float | None:
        """Return the limit in force of an upstream, or None without one."""
        life = self.lives.get(name)
        return None if life is None else self.book.rate(life)

    def answered(
        self, answer: Answered, known: str, now: float
    ) -> list[actions.Action]:
        """Take in an answer of an upstream; ``known`` is its incarnation."""
        name, said = answer.upstream, answer.said
        incarnation = said.incarnation or known
        self.met(name, incarnation)
        if isinstance(said.limit, limits.Unusable):
            why = f'limit-unusable: {said.limit.text}'
            told = actions.Record('engine-limit-refused', why, upstream=name)
            return [told]
        life = f'{name} {incarnation}'
        news = self.book.named(life, said.limit, answer.asked_at, now)
        if news is None:
            return []
        self.lives[name] = life
        why = limit_book.told(news)
        return [actions.Record('engine-limit', why, upstream=name)]

    def met(self, name: str, incarnation: str) -> None:
        """Forget the limit of a life that is over."""
        life = self.lives.get(name)
        if life is not None and life != f'{name} {incarnation}':
            del self.lives[name]
            self.book.forget(life)
