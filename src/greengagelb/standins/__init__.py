"""Small replacements of outside systems, for tests and the demo only."""
