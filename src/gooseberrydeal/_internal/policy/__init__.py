"""Hold pure decisions: state in, decision out, no input or output."""
