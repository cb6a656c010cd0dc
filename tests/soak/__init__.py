"""A randomized soak of relaying instances, with faults from outside.

Real instances run as separate processes on loopback. The store, the engines
and the callers are small stand-ins in the process of the soak, and proxies
stand on every link that a fault may harm. What callers and engines see is
checked against what the product promises, and nothing else is.
"""
