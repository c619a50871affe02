"""Route requests straight to backend servers, and own engines' adapter slots."""
