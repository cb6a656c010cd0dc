"""What holds of a relay at any moment, for state machines that drive one."""

from hypothesis import stateful


class CountsAddUp:
    """Invariants of a state machine that has a relay in its ``world``."""

    @stateful.invariant()
    def sends_are_counted_once(self):
        relay = self.world.relay
        counted = sum(s.in_flight for s in relay.engines.states.values())
        under_way = [
            sent
            for exchange in relay.exchanges.values()
            for sent in exchange.sends.values()
        ]
        assert counted == len(under_way)

    @stateful.invariant()
    def loads_add_up(self):
        loads = self.world.relay.loads
        for engine, work in loads.work.items():
            runs = [r for r in loads.runs.values() if r.engine == engine]
            copies = [r for r in loads.runs.values() if r.copy_to == engine]
            assert work.runs == len(runs)
            assert work.memory_tokens == sum(r.memory_tokens for r in runs)
            assert work.copied_tokens == sum(r.memory_tokens for r in copies)
