"""Small stand-ins for the platform and the upstreams, each a process with faults to inject."""
