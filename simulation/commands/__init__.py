"""The commands of `python -m simulation`, one module for each subject; simulation.cli lists them all."""
