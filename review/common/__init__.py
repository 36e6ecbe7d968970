"""Stand-ins and process control that the scripts of this review share."""
