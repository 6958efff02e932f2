"""The pipeline runner: stages, routing, attempts and retries."""
