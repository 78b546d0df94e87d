"""Stand-ins for the platform and the upstreams: small processes with injectable faults."""
