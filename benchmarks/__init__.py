"""Benchmarks of mothstand; each compares with a baseline in the same run."""
