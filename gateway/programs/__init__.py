"""The two programs, proxy and controller, and the parts that only they use."""
