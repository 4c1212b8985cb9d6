"""Adapters to the platform services, model engines and plain services."""
