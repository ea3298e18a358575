"""Measurements of the project's own; not part of the program, not run by CI."""
