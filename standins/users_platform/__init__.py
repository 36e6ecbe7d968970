"""Simulation of the users' platform, with its published protocol.

Not simulated are transactions over several parts, objects, KV cache calls, and the
speed of engines, whose event intervals are set by the test.
"""
