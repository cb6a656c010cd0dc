"""What operators want: plans, confirmations, and orders to engines."""
