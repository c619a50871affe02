"""Stand in for the platform, its engines and its clients in the cases of review 3."""
