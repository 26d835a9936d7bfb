"""Configurations: schema and checks, the operator's changes, the routing tree, and digests against drift.

Where to read on:

- `document`, `schema`: a configuration as the operator sent it, its typed view, and what each field may be.
- `changes`: decisions on the operator's changes, and the replicated value. The users' pages call a change an
  order.
- `routing`: a configuration compiled for requests.
- `digest`: digests of a running configuration, and the scan for differences.
- `reference`: a second implementation of the routing decision, to check the compiled one.
- `errors`: what can be wrong with a stored value.
"""
