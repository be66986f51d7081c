"""Agreement of the replicas: the log, its storage and its membership."""
