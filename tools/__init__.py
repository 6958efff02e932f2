"""Development tools: model checking, measurements and packaging."""
