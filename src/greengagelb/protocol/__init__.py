"""Validated messages and codecs at the border of the process."""
