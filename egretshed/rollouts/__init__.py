"""Moves the traffic of a service to a new software version, or back."""
