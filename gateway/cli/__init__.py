"""Command line of the gateway: checks of files, configuration changes, reports of running nodes."""
