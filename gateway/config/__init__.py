"""Configurations: schema, checks, the operator's changes, the routing tree, and drift digests.

Where to read on:

- `document`, `schema`: a configuration as sent by the operator, its typed view, and the allowed fields.
- `changes`: decisions on the operator's changes, and the replicated value. Operators call a change an order.
- `routing`: a configuration compiled for requests.
- `digest`: digests of a running configuration, and the scan for differences.
- `reference`: a second implementation of the routing decision, used to check the compiled one.
- `errors`: errors in a stored value.
"""
