"""Finds requests that an instance cut without a reason that counts."""

from collections.abc import Iterator

from tests.soak import callers
from tests.soak import engines
from tests.soak import faults
from tests.soak import instances
from tests.soak import world

# So long after the last harm nothing that fails is blamed on it.
TOUCH_SECONDS = 3.0
# An answer that ends within so many seconds of its limit has reached it.
LIMIT_MARGIN = 0.1
# Beside a configuration, requests are cut at most so many times as often as
# at other times; those that have used this share of their time don't count.
MOST_TIMES_AS_OFTEN = 3.0
USED_SHARE = 0.7
CONFIG_SECONDS = world.CONFIG_APPLY_SECONDS + 1.0
# A stop is excused where an engine is still at work for this last share of
# the grace time on a request that was sent no later than so many seconds
# after the stop.
LAST_SHARE_OF_GRACE = 1 / 6
SENT_AFTER_STOP_SECONDS = 3.0
# The effect of a pause ends so long after it.
PAUSE_EFFECT_SECONDS = 1.0


class Cuts:
    """The requests of a run that were passed on and got no whole answer."""

    def __init__(self, played: world.World) -> None:
        self.moments = played.moments
        self.outcomes = played.callers.outcomes
        self.limits = played.route_limits
        self.instances = [each.name for each in played.instances]
        self.runs: dict[str, list[engines.Run]] = {}
        for run in played.engines.runs:
            self.runs.setdefault(run.request_id, []).append(run)
        passed_on = {each.request_id for each in played.engines.received}
        self.lost = [
            found
            for found in self.outcomes
            if found.request_id in passed_on and self.counts(found)
        ]

    def counts(self, found: callers.Outcome) -> bool:
        """Return whether an answer ended early for no reason that counts.

        Pauses of engines, and engines that are full, are no such reason.
        """
        if found.whole or found.given_up or found.ended_at is None:
            return False
        if used(found) > self.limits[found.kind] - LIMIT_MARGIN:
            return False
        runs = self.runs.get(found.request_id, [])
        if any(run.broken_off or run.torn for run in runs):
            return False
        if any(self.outlasts_stop(found, stop) for stop in self.first_stops()):
            return False
        return not any(self.harms(moment, found) for moment in self.moments)

    def harms(self, moment: world.Moment, found: callers.Outcome) -> bool:
        """Return whether an unplanned disturbance may have cut an answer."""
        begin = found.began_at - TOUCH_SECONDS
        if moment.at >= found.ended_at or moment.until <= begin:
            return False
        if moment.what in faults.OF_THE_STORE | faults.OF_ENGINES:
            return True
        of_one = faults.OF_INSTANCES | faults.OF_LINKS
        return moment.what in of_one and moment.target == found.instance

    def beside_reloads(self) -> Iterator[callers.Outcome]:
        """Find requests cut after a reload, sent before it or soon after."""
        for moment in self.of_kind(faults.What.RELOAD_INSTANCE):
            latest = moment.at + world.CONFIG_APPLY_SECONDS
            for found in self.lost:
                if (
                    found.instance == moment.target
                    and found.began_at < latest
                    and moment.at < found.ended_at
                ):
                    yield found

    def beside_stops(self) -> Iterator[callers.Outcome]:
        """Find requests cut by a planned stop."""
        for moment in self.first_stops():
            until = moment.at + instances.GRACE_SECONDS + 1.0
            for found in self.lost:
                if (
                    found.instance == moment.target
                    and moment.at < found.ended_at
                    and found.began_at < until
                ):
                    yield found

    def first_stops(self) -> Iterator[world.Moment]:
        """Return the stops from which grace times count.

        Another signal to an instance that is stopping gives it no more time.
        """
        counts_from: dict[str, float] = {}
        for moment in self.of_kind(faults.What.STOP_INSTANCE):
            earlier = counts_from.get(moment.target, float('-inf'))
            if moment.at > earlier + instances.GRACE_SECONDS:
                counts_from[moment.target] = moment.at
                yield moment

    def outlasts_stop(
        self, found: callers.Outcome, stop: world.Moment
    ) -> bool:
        """Return whether an engine was at work as the grace time ended."""
        if stop.target != found.instance or stop.at > found.ended_at:
            return False
        last = (1.0 - LAST_SHARE_OF_GRACE) * instances.GRACE_SECONDS
        runs = self.runs.get(found.request_id, [])
        return found.began_at < stop.at + SENT_AFTER_STOP_SECONDS and any(
            run.ended_at is None or run.ended_at > stop.at + last
            for run in runs
        )

    def beside_configurations(self) -> Iterator[tuple[str, int, int]]:
        """Find instances that cut more often beside new configurations.

        Yields the name, and how many were cut beside them and at other times.
        """
        begins = [
            moment.at for moment in self.of_kind(faults.What.NEW_CONFIGURATION)
        ]
        if not begins:
            return
        beside_seconds = union_seconds(begins, CONFIG_SECONDS)
        first = min(found.began_at for found in self.outcomes)
        last = max(found.ended_at or 0.0 for found in self.outcomes)
        other_seconds = last - first - beside_seconds
        for name in self.instances:
            lost = [found for found in self.lost if found.instance == name]
            beside = [
                found
                for found in lost
                if any(
                    0 < found.ended_at - at < CONFIG_SECONDS for at in begins
                )
            ]
            others = len(lost) - len(beside)
            counted = [
                found
                for found in beside
                if used(found) < USED_SHARE * self.limits[found.kind]
            ]
            usual = others / other_seconds * beside_seconds
            if len(counted) > MOST_TIMES_AS_OFTEN * usual:
                yield name, len(counted), others

    def by_pauses(self) -> Iterator[callers.Outcome]:
        """Find answers that had begun and were cut as engines paused.

        Stops have a rule of their own.
        """
        pauses = [m for m in self.moments if m.what in faults.PAUSES]
        stops = list(self.first_stops())
        for found in self.lost:
            stopped = any(
                stop.target == found.instance
                and stop.at < found.ended_at
                and found.began_at < stop.until + instances.GRACE_SECONDS
                for stop in stops
            )
            paused = any(
                pause.at < found.ended_at
                and found.began_at < pause.until + PAUSE_EFFECT_SECONDS
                for pause in pauses
            )
            if found.answer and paused and not stopped:
                yield found

    def of_kind(self, what: faults.What) -> Iterator[world.Moment]:
        """Return what was done of a kind."""
        return (moment for moment in self.moments if moment.what is what)


def used(found: callers.Outcome) -> float:
    """Return how many seconds of its time a request has used."""
    return found.ended_at - found.began_at


def union_seconds(begins: list[float], length: float) -> float:
    """Return how many seconds spans of one length cover together."""
    begins = sorted(begins)
    following = [*begins[1:], float('inf')]
    return sum(
        min(length, after - at)
        for at, after in zip(begins, following, strict=True)
    )
