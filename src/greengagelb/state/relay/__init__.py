"""State of the relay, which passes requests on to registered engines."""
