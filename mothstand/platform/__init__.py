"""Translation between the users' platform and the fleet: settings, store, records, headers."""
