"""The ledger at work: folds, accounts and policy of each shard, with their I/O round them."""
