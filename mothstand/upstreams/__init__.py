"""Clients of what the fleet routes to: model engines and plain services."""
