"""The entry daemon: accepts callers' requests and routes them to endpoints."""
