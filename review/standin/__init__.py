"""Stand-ins of clients, runners and the platform, and a launcher of the gateways."""
