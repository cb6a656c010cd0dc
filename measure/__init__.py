"""Measurements: they drive the real processes on loopback and print JSON.

They stand outside the package, since they start processes, which the product
itself never does.
"""
