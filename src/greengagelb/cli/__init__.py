"""The ``greengagelb`` command line."""
