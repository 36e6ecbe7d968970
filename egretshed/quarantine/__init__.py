"""Keeps requests away from servers that they would crash."""
