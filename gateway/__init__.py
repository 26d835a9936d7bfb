"""The whole system around the ingress: its planes as libraries, its programs on top."""
