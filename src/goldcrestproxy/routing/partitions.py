"""Mapping of keys to partitions."""

from __future__ import annotations

import xxhash

# Hashes stay positive in a signed 64-bit field.
_HASH_MASK = (1 << 63) - 1


def key_hash(customer: str, key: str) -> int:
    """Return the hash of a customer's key, 0 to 2**63 - 1."""
    text = f"{len(customer)}:{customer}{key}"
    return xxhash.xxh3_64_intdigest(text.encode()) & _HASH_MASK


def partition_of(hash_of_key: int, partitions: int) -> int:
    """Return the number of the partition that a key hash falls into."""
    return hash_of_key % partitions
