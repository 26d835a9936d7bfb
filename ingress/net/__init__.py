"""The network side of the ingress: HTTP connections, discovery, the counter and peers, on asyncio."""
