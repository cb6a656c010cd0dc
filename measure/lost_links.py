"""How callers of instances that lose their links to the engines are served.

    .venv/bin/python -m measure.lost_links --sizes 3,30,200

Plays fleets of whole instances over a simulated network. Some of them lose
their links to all engines. Prints a row of JSON for each: the share of first
tries that are served at those that are cut off and at the others, from a tenth
of ``contact_ms`` after the cut began; the median time of calls at both, in
milliseconds; refusals; requests that ran twice; engines that other instances
doubt; messages between instances for each second and instance; the most
connections that one instance held for others.
"""

import argparse
import json
import statistics
from typing import Any

from greengagelb.coordination.relay import events as relay_events
from tests.common import linked_fleet
from tests.common import relay_world
from tests.common import simulated_network

CONTACT_SECONDS = 3.0
WARM_SECONDS = 1.0
CUT_SECONDS = 6.0
END_SECONDS = 4.0
# Requests a second of the whole fleet, and the least of each instance.
RATE = 120.0
TARGETS = (b'/booking/1', b'/queries/1', b'/booking/1', b'/queries/1')
STREAM_EVERY = 20
LOSS = 0.33
RESTART_PAUSE_SECONDS = 0.5
MODES = {mode.value: mode for mode in simulated_network.Cut}


def cut_off(size: int, share: str) -> list[int]:
    """Return the instances that are cut off."""
    match share:
        case 'none':
            return []
        case 'one':
            return [0]
        case 'fifth':
            return list(range(max(1, size // 5)))
        case 'data-centre':
            # All of the first data centre but one, if it has several.
            places = len(relay_world.PLACES)
            local = list(range(0, size, places))
            return local[:-1] or local
    return list(range(size - 1))


class Play:
    """One fleet, what is done to it, and what its callers see."""

    def __init__(
        self, size: int, share: str, mode: str, beside: str, seed: int
    ) -> None:
        self.row = {
            'instances': size,
            'cut': share,
            'mode': mode,
            'beside': beside,
        }
        loss = LOSS if beside == 'loss' else 0.0
        self.fleet = linked_fleet.LinkedFleet(size, seed=seed, loss=loss)
        self.numbers = cut_off(size, share)
        self.beside = beside
        self.mode = MODES[mode]
        self.doubted: set[str] = set()
        self.most_forwarded = 0
        self.asked: list[linked_fleet.Asked] = []

    def run(self) -> dict[str, Any]:
        """Play, and return the row."""
        self.ask_for(WARM_SECONDS)
        if self.beside == 'store-away':
            lost = relay_events.StoreLost('away')
            for instance in self.fleet.instances:
                instance.loop.dispatch(lost)
        for number in self.numbers:
            self.fleet.cut(number, self.mode)
        self.ask_for(CONTACT_SECONDS / 10)
        sent_before = self.fleet.network.datagrams_sent
        if self.beside == 'restarts':
            self.restart_in_turn()
        self.asked.clear()
        self.ask_for(CUT_SECONDS)
        sent = self.fleet.network.datagrams_sent - sent_before
        self.fleet.network.advance(END_SECONDS)
        return self.result(sent)

    def restart_in_turn(self) -> None:
        """Have two other instances stop and start again."""
        others = [
            n
            for n in range(len(self.fleet.instances))
            if n not in self.numbers
        ]
        for place, number in enumerate(others[1:3]):
            self.fleet.network.call_later(
                RESTART_PAUSE_SECONDS * (1 + place),
                self.fleet.restart,
                number,
            )

    def ask_for(self, seconds: float) -> None:
        """Have callers ask all instances for a time."""
        size = len(self.fleet.instances)
        pause = max(1.0 / RATE, seconds / 2000)
        for step in range(round(seconds / pause)):
            number = (step * 7) % size
            target = TARGETS[(step // size) % len(TARGETS)]
            if step % STREAM_EVERY == 0:
                target = b'/drafts/1'
            self.asked.append(self.fleet.ask(number, target))
            self.fleet.network.advance(pause)
            self.look_at_others()

    def look_at_others(self) -> None:
        """Note what is doubted and forwarded at this moment."""
        now = self.fleet.network.now
        for number, instance in enumerate(self.fleet.instances):
            forwarded = len(instance.forwarding.connections)
            self.most_forwarded = max(self.most_forwarded, forwarded)
            if number in self.numbers:
                continue
            states = instance.relay.engines.states.items()
            self.doubted |= {n for n, s in states if now < s.doubted_until}

    def result(self, datagrams: int) -> dict[str, Any]:
        """Return the row of what callers have seen."""
        at_cut_off = [a for a in self.asked if a.instance in self.numbers]
        others = [a for a in self.asked if a.instance not in self.numbers]
        calls = [a for a in self.asked if a.target == b'/booking/1']
        twice = sum(len(self.fleet.arrivals(a.name)) > 1 for a in calls)
        seconds = CUT_SECONDS * len(self.fleet.instances)
        return {
            **self.row,
            'asked': len(at_cut_off),
            'served': share_of(at_cut_off),
            'others_asked': len(others),
            'others_served': share_of(others),
            'ms': median_ms(at_cut_off),
            'others_ms': median_ms(others),
            'refused': sum(a.status == 503 for a in self.asked),
            'ran_twice': twice,
            'doubted': len(self.doubted),
            'datagrams': round(datagrams / seconds, 1),
            'most_forwarded': self.most_forwarded,
        }


def share_of(asked: list[linked_fleet.Asked]) -> float | None:
    """Return the share of requests that were served."""
    return round(linked_fleet.served_share(asked), 3) if asked else None


def median_ms(asked: list[linked_fleet.Asked]) -> float | None:
    """Return the median time of the calls that were served."""
    times = [
        a.seconds
        for a in asked
        if a.is_served and not a.target.startswith(b'/drafts')
    ]
    return round(1000 * statistics.median(times), 1) if times else None


def main() -> None:
    """Print a row for each play."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--sizes', default='3,30,200')
    parser.add_argument(
        '--shares', default='one,fifth,data-centre,all-but-one'
    )
    parser.add_argument('--modes', default=','.join(MODES))
    parser.add_argument('--beside', default='nothing')
    parser.add_argument('--seed', type=int, default=1)
    words = parser.parse_args()
    for size in map(int, words.sizes.split(',')):
        for share in words.shares.split(','):
            for mode in words.modes.split(','):
                for beside in words.beside.split(','):
                    play = Play(size, share, mode, beside, words.seed)
                    print(json.dumps(play.run()), flush=True)


if __name__ == '__main__':
    main()
