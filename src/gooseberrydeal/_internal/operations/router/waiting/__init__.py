"""Let requests wait for places at servers, in order of their urgency."""
