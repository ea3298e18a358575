"""The project's own measurements; not part of the program and not run by CI."""
