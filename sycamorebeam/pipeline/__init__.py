"""The pipeline runner: stages, routes, attempts and their checks."""
