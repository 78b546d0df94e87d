"""What the operators' commands do: publish, status, audit."""
