"""The sidecar daemon, through which all requests reach its endpoint."""
