"""Quarantine of what crashes upstreams: detection, records of the fleet, and enforcement."""
