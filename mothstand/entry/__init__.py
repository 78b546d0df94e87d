"""HTTP endpoints for callers and operators, and the composition of an instance."""
