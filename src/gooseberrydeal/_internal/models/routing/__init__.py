"""Define the data of the router: routes, servers, requests and adapter copies."""
