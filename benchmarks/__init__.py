"""Benchmarks of mothstand, each beside its baseline in the same run."""
