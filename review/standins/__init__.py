"""Small stand-ins of the platform, of replicas and of consumers for the cases."""
