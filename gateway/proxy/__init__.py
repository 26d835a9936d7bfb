"""The traffic plane: HTTP towards clients and backends, and the decisions on each request."""
