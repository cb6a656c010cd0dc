"""Data classes that decisions read and write; no behaviour beyond checks."""
