"""The data plane: HTTP towards clients and backends, and the decisions on each request."""
