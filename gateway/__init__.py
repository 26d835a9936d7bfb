"""The whole gateway: one library package a plane, and two programs, proxy and controller, on top of them."""
