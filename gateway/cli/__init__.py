"""Command line of the gateway: checks of files, orders to controllers, reports of running nodes."""
