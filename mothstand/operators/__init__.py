"""Implementation of the operators' commands, such as publish, status and audit."""
