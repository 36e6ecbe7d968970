"""Test doubles of the platform, the backend servers, the peer network and the clock."""
