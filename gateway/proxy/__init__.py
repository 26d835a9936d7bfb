"""The traffic plane: what is said to clients and backends, and decisions on requests."""
