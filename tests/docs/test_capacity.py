"""The tables of docs/CAPACITY.md follow from the measured slopes."""

import json

from measure import capacity


def test_tables_agree_with_the_slopes():
    """Somebody measures anew, or edits a table by hand.

    An operator who plans by the page would plan by figures of no run.
    """
    slopes = capacity.Slopes(json.loads(capacity.SLOPES.read_text()))
    page = capacity.PAGE.read_text()
    assert capacity.fill(page, capacity.tables(slopes)) == page


def test_control_keeps_to_its_budget_at_the_design_size():
    slopes = capacity.Slopes(json.loads(capacity.SLOPES.read_text()))
    size = capacity.DesignSize()
    processor = capacity.control_processor(size, slopes)
    traffic = capacity.control_traffic(size, slopes)
    memory = capacity.control_memory(size, slopes)
    assert sum(processor.values()) < capacity.CONTROL_CORE
    assert sum(traffic.values()) < capacity.CONTROL_BYTES_A_SECOND
    assert sum(memory.values()) < capacity.CONTROL_BYTES
