"""Ledger shards of an instance: the folds, accounts and policy of ``core`` with their I/O."""
