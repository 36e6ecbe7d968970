"""Stand-ins for the platform, backend servers, peers and time; used by tests only."""
