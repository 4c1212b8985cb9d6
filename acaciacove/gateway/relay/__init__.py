"""A few gateways read the log; the others ask them."""
