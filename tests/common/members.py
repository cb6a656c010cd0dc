"""A data centre of memberships joined by a network that loses messages."""

from greengagelb.coordination.fleet import membership
from greengagelb.state import fleet

INTERVAL = 4.0


def peer(number, data_centre='kl-1', start=0):
    """Return the instance of a number after so many starts."""
    return fleet.PeerId(
        f'router-{number}',
        f'{number}.{start}',
        data_centre,
        fleet.PeerAddress('10.0.0.1', 7000 + number),
    )


def listed(*peers, leaving=False):
    """Return entries of the platform's list."""
    return [fleet.ListedInstance(one, leaving) for one in peers]


class Network:
    """Memberships by address, and what each of them has asked for.

    ``cut`` holds pairs of addresses between which nothing passes.
    """

    def __init__(self):
        self.now = 100.0
        self.members = {}
        self.cut = set()
        self.reports = {}
        self.sent = []

    def start(self, who, seeds=()):
        """Start an instance, in place of what was at its address."""
        member = membership.Membership(who, seeds, INTERVAL)
        self.members[who.address] = member
        self.reports[who.incarnation] = []
        return member

    def deliver(self, member, wanted):
        """Carry out what a membership wants, at once."""
        for action in wanted:
            match action:
                case membership.SendHeartbeat(address, heartbeat):
                    self.sent.append((member.own_id, address))
                    target = self.reach(member, address)
                    if target is not None:
                        self.deliver(
                            target,
                            target.handle_heartbeat(heartbeat, self.now),
                        )
                case membership.IntroducePeers(address, peers):
                    target = self.reach(member, address)
                    if target is not None:
                        found = target.handle_introduction(peers, self.now)
                        self.deliver(target, found)
                case membership.AskForConfiguration(address):
                    source = self.reach(member, address)
                    if source is not None:
                        self.apply(member, source.own_state.version)
                case membership.EmitEvent(event):
                    self.reports[member.own_id.incarnation].append(event)

    def reach(self, member, address):
        """Return the membership at an address, if messages get there."""
        if frozenset({member.own_id.address, address}) in self.cut:
            return None
        return self.members.get(address)

    def apply(self, member, version):
        """Have an instance apply a version, unless it is lower."""
        own = fleet.OwnState(
            max(version, member.own_state.version),
            member.own_state.leaving,
            member.own_state.leaving_upstreams,
        )
        self.deliver(member, member.update_own_state(own, self.now))

    def run(self, seconds):
        """Let time pass, with heartbeats at their interval."""
        end = self.now + seconds
        while self.now < end:
            self.now += INTERVAL
            for member in list(self.members.values()):
                self.deliver(member, member.tick(self.now))
