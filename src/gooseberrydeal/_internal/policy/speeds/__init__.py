"""Learn the speeds of backend servers from their responses."""
