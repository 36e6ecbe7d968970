"""Account of the bytes that a node holds for callers and servers."""
