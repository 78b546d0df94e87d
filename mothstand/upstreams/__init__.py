"""Clients of the upstreams: model engines and plain services."""
