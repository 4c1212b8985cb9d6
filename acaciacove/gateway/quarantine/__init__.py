"""Holds back requests that crash the endpoints that run them."""
