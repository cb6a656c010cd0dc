"""Plans of operators, their confirmation, and orders to engines."""
