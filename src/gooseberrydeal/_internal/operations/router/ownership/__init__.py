"""Hand the ownership of engines from host to host."""
