"""Stand-ins of the users' platform, by its published protocol.

They are small and honest about what they leave out: no transactions over several parts,
no objects, no KV cache calls, and engines that answer at the pace they are told.
"""
