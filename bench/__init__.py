"""Load driver, cluster of processes and checks of what they recorded."""
