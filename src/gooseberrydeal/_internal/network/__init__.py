"""Hold clients, servers and the peer protocol."""
