"""Randomized runs of real gateway processes against faulty upstreams, judged by request ids."""
