"""Serving service for long generations on engines that fail.

The package is built in four layers, each of which may import only those
below it: ``transport`` (sockets, timers, HTTP), ``protocol`` (validated
messages and codecs), ``coordination`` (decisions without I/O) and ``state``
(the data classes that decisions read and write).
"""

__version__ = '0.1.0'
