"""Hold the data of direct routing: routes, servers, requests and adapter copies."""
