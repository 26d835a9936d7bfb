"""The commands of `python -m proving`, one module for each subject; proving.cli lists them all."""
