"""The commands of `python -m proving`, a module for each subject; proving.cli lists them all."""
