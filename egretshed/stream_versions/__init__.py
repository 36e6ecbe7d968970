"""Keeps each stream at the software version of the server that began it."""
