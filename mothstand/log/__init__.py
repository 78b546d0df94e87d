"""Clients of the platform's log and instance list."""
