"""Hold stand-ins of outside systems and the experiment tool."""
