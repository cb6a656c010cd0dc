"""Parts of a limit that instances lend each other over unreliable links."""

import random

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies

from greengagelb.coordination.sharing import leases
from greengagelb.state import limits

LIFE = 'engine 1'
INSTANCES = 5
NAMES = [f'i{number}' for number in range(INSTANCES)]
NEVER = float('-inf')

names = strategies.sampled_from(NAMES)


class LentParts(stateful.RuleBasedStateMachine):
    """Any instance may ask any other for its part at any time.

    Lease requests and grants arrive late, twice, out of order, or never.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.own = {}
        self.borrowed = {}
        for name in NAMES:
            self.own[name] = leases.OwnParts()
            self.own[name].set_instance_count(INSTANCES, 0.0, self.now)
            self.borrowed[name] = leases.BorrowedParts(self.now)
        self.questions = []
        self.answers = []

    @stateful.rule(borrower=names, lender=names)
    def ask(self, borrower, lender):
        wanted = limits.LeaseRequest(LIFE, self.now)
        self.questions.append((borrower, lender, wanted))

    @stateful.precondition(lambda self: self.questions)
    @stateful.rule(seed=strategies.integers(0, 99))
    def hear_question(self, seed):
        borrower, lender, wanted = random.Random(seed).choice(self.questions)
        own = self.own[lender]
        share = own.share(self.now)
        if not share:
            return
        unused = own.lend(LIFE, borrower, NEVER, self.now)
        if unused is not None:
            lease = limits.LeaseGrant(LIFE, share, unused, wanted.stamp)
            self.answers.append((borrower, lender, lease))

    @stateful.precondition(lambda self: self.answers)
    @stateful.rule(seed=strategies.integers(0, 99))
    def hear_answer(self, seed):
        borrower, lender, lease = random.Random(seed).choice(self.answers)
        until = lease.stamp + leases.LEASE_SECONDS
        self.borrowed[borrower].add_part(lender, lease.share, until)

    @stateful.rule(borrower=names)
    def return_all(self, borrower):
        """Hand over the parts: stop using them, then tell the lenders."""
        mine = self.borrowed[borrower]
        lenders = list(mine.parts)
        self.borrowed[borrower] = leases.BorrowedParts(self.now)
        self.answers = [a for a in self.answers if a[0] != borrower]
        self.questions = [q for q in self.questions if q[0] != borrower]
        for lender in lenders:
            self.own[lender].take_back(LIFE, borrower, self.now)

    @stateful.rule(seconds=strategies.floats(0.01, 4.0))
    def pass_time(self, seconds):
        self.now += seconds

    @stateful.invariant()
    def each_part_is_in_use_once(self):
        """Guards against two issuers that use the same part."""
        used = [
            lender
            for borrowed in self.borrowed.values()
            for lender, part in borrowed.parts.items()
            if self.now < part.until
        ]
        assert len(used) == len(set(used))

    @stateful.invariant()
    def total_share_is_within_the_limit(self):
        """Guards against parts whose sum exceeds the limit."""
        totals = [b.total_share(self.now) for b in self.borrowed.values()]
        assert sum(totals) <= 1.0 + 1e-9


TestLentParts = LentParts.TestCase
TestLentParts.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)


def test_a_new_instance_has_no_part_before_others_count_it():
    """Guards against parts whose sum exceeds the limit as the fleet grows."""
    newcomer = leases.OwnParts()
    newcomer.set_instance_count(9, 0.0, 100.0)
    assert newcomer.share(100.0 + leases.JOIN_SECONDS - 0.01) == 0.0
    assert newcomer.share(100.0 + leases.JOIN_SECONDS) == 1 / 9
    slow = leases.OwnParts()
    slow.set_instance_count(330, 8.25, 100.0)
    assert slow.share(112.0) == 0.0


def test_the_part_of_a_stopped_instance_is_shared_after_its_lease_ends():
    """Guards against taking over a part that is still lent."""
    own = leases.OwnParts()
    own.set_instance_count(8, 0.0, 100.0)
    own.set_instance_count(7, 0.0, 110.0)
    assert own.share(110.0 + leases.LEASE_SECONDS - 0.01) == 1 / 8
    assert own.share(110.0 + leases.LEASE_SECONDS) == 1 / 7


def test_time_during_which_a_part_was_lent_is_not_credited_again():
    """Guards against crediting two borrowers with the same time."""
    own = leases.OwnParts()
    own.set_instance_count(4, 0.0, 100.0)
    own.set_instance_count(4, 0.0, 104.0)
    assert own.lend(LIFE, 'i1', 103.0, 105.0) == 2.0
    assert own.lend(LIFE, 'i1', 103.0, 106.0) == 0.0
    assert own.lend(LIFE, 'i2', 103.0, 107.0) is None
    own.take_back(LIFE, 'i1', 107.0)
    assert own.lend(LIFE, 'i2', 103.0, 107.5) == 0.5
