"""Reconstructs the course of requests from gateways' log lines."""
