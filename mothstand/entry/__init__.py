"""What callers and operators reach over HTTP, and the composition of one instance."""
