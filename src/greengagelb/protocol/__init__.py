"""Message formats between processes, with validation and codecs."""
