"""Tests of log lines."""
